// ctest-labels: promise-leaving-upstream
#include "peridotspool/membership/UpstreamDirectory.h"
#include "peridotspool/membership/UpstreamRegistry.h"

#include <catch2/catch.hpp>

namespace peridotspool::membership {

namespace {

const Address kEntry{ "127.0.0.1", 9 };
const Address kOne{ "127.0.0.1", 101 };
const Address kTwo{ "127.0.0.1", 102 };
const UpstreamName kName("u");

TimePoint
At(int aMs)
{
  return TimePoint(std::chrono::seconds(1000) + std::chrono::milliseconds(aMs));
}

void
Deliver(UpstreamDirectory& aDirectory,
        const Address& aFrom,
        const std::vector<RegistrySend>& aSends,
        int aMs)
{
  for (const RegistrySend& send : aSends) {
    aDirectory.ApplyPush(aFrom, send.mPush, At(aMs));
  }
}

} // namespace

// Symptom: requests reached an upstream 2.5 s after its goodbye had been
// acknowledged, and for three seconds more.
// Sequence: the upstream, which was cut off from some replicas, said goodbye to
// one that had never heard of it; a goodbye names no life.
// Cause: that replica passes it on as of no life, and entries, who know the
// upstream's life from another replica, take it for a life that is over.
TEST_CASE("AGoodbyeAtAReplicaThatDoesNotKnowTheUpstreamEndsItForEntries")
{
  UpstreamRegistry one({ .mRegistryIncarnation = RegistryIncarnation(1) });
  UpstreamRegistry two({ .mRegistryIncarnation = RegistryIncarnation(2) });
  UpstreamDirectory directory;
  Deliver(
    directory, kOne, one.HandlePull(kEntry, directory.PullFor(kOne), At(0)), 0);
  Deliver(
    directory, kTwo, two.HandlePull(kEntry, directory.PullFor(kTwo), At(0)), 0);
  Deliver(directory,
          kOne,
          one.HandleHeartbeat({ .mName = kName,
                                .mIncarnation = Incarnation(1000),
                                .mService = ServiceName("s"),
                                .mAddress = { "127.0.0.1", 80 },
                                .mSequence = 1 },
                              At(1)),
          1);
  REQUIRE(directory.Find(kName) != nullptr);
  Deliver(directory, kTwo, two.HandleDeregistration(kName, {}, At(2)), 2);
  for (int ms = 100; ms <= 1000; ms += 100) {
    Deliver(directory, kTwo, two.Tick(At(ms)), ms);
  }
  CHECK(directory.Find(kName)->mReport.mStage == UpstreamStage::kGone);
}

} // namespace peridotspool::membership
