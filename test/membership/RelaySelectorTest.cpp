// ctest-labels: promise-config promise-survives-reclaim
#include "peridotspool/membership/RelaySelector.h"

#include <catch2/catch.hpp>

namespace peridotspool::membership {

namespace {

using std::chrono::milliseconds;

const Address kOne{ .mHost = "relay-1", .mPort = 1 };
const Address kTwo{ .mHost = "relay-2", .mPort = 1 };

TimePoint
At(int aMs)
{
  return TimePoint(std::chrono::seconds(100)) + milliseconds(aMs);
}

} // namespace

TEST_CASE("ARelayIsUsedWhileResponsesComeInTime")
{
  RelaySelector selector(0);
  selector.SetRelays({ kOne, kTwo });
  CHECK_FALSE(selector.Choose(At(0)));
  for (int ms = 0; ms < 5000; ms += 300) {
    selector.RecordResponse(At(ms - 50), At(ms));
    CHECK(selector.Choose(At(ms)) == kOne);
  }
  CHECK(selector.Choose(At(5600)) == std::nullopt);
  selector.RecordResponse(At(5600), At(5610));
  CHECK(selector.Choose(At(5610)) == kTwo);
}

// Guards against settings that are seconds late because each message waits at a
// relay that still answers.
TEST_CASE("ARelayThatDelaysEverythingIsLeft")
{
  RelaySelector selector(0);
  selector.SetRelays({ kOne, kTwo });
  selector.RecordResponse(At(0), At(10));
  bool left = false;
  for (int ms = 300; ms < 4000 && !left; ms += 300) {
    selector.RecordResponse(At(ms - ms / 2), At(ms));
    left = !selector.Choose(At(ms));
  }
  INFO("responses came half of the time late, up to 2 s");
  CHECK(left);
}

} // namespace peridotspool::membership
