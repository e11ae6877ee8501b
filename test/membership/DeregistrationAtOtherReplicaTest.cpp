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

// Guards against requests to a deregistered upstream, seen from 2.5 s to 5.5 s
// after the deregistration was acknowledged. The upstream, partitioned from
// some replicas, deregisters without an incarnation at a replica that doesn't
// know it. That replica forwards the deregistration without an incarnation, and
// entries that know the incarnation from another replica attribute it to an
// earlier one.
TEST_CASE("DeregistrationAtAReplicaThatDoesNotKnowTheUpstreamEndsItForEntries")
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
