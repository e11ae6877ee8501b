// ctest-labels: unit
#include "wire/PeerFailures.h"

#include <catch2/catch.hpp>

namespace peridotspool::wire {

namespace {

const Address kPeer{ "127.0.0.1", 7600 };
const TimePoint kStart{ std::chrono::seconds(100) };

} // namespace

// Guards against a peer that is given up for one handshake that timed out.
TEST_CASE("OnlyFailuresThatGoOnCount")
{
  PeerFailures failures;
  failures.RecordFailure(kPeer, kStart);
  CHECK(failures.Lasting(kStart + std::chrono::seconds(2)) ==
        std::vector<Address>{ kPeer });
  CHECK(failures.Lasting(kStart + std::chrono::seconds(1)).empty());
  CHECK(failures.Lasting(kStart + std::chrono::seconds(3)).empty());
  failures.RecordFailure(kPeer, kStart + std::chrono::milliseconds(2500));
  CHECK(failures.Lasting(kStart + std::chrono::seconds(5)).size() == 1);
  failures.RecordSuccess(kPeer);
  CHECK(failures.Lasting(kStart + std::chrono::seconds(5)).empty());
}

} // namespace peridotspool::wire
