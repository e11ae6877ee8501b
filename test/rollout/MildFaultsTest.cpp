// ctest-labels: promise-rollout
#include "rollout/RolloutSimulation.h"

#include <catch2/catch.hpp>

namespace peridotspool::rollout {

namespace {

void
CheckBounds(const RolloutSimulationOptions& aOptions)
{
  const RolloutSimulationOutcome outcome = SimulateRollout(aOptions);
  INFO("seed " << aOptions.mSeed << ", " << aOptions.mEntries
               << " entries, fails " << aOptions.mFault.mFails << " slows "
               << aOptions.mFault.mSlows << ": " << outcome.mReason << ", new "
               << outcome.mNew << " of " << outcome.mRequests);
  CHECK(outcome.mState == RolloutState::kRolledBack);
  CHECK_FALSE(outcome.mOverExposed);
  CHECK(outcome.mLate == 0);
}

} // namespace

// Guards against a version with a small share of bad answers. Upstreams that
// fail themselves mask this share until the shift.
TEST_CASE("AVersionThatIsBadInFewAnswersKeepsTheBounds")
{
  for (const VersionFault& fault :
       { VersionFault{ .mFails = 0.1 },
         VersionFault{ .mSlows = 0.3, .mSlowTimes = 4.0 } }) {
    for (unsigned seed = 1; seed <= 10; ++seed) {
      CheckBounds({ .mSeed = seed,
                    .mEntries = 86,
                    .mUpstreamsEach = 60,
                    .mRequestsPerSecond = 240,
                    .mFault = fault,
                    .mGrayFailureShare = seed % 2 == 0 ? 0.15 : 0.0 });
    }
  }
}

// Guards against a bad version of a service with little traffic.
TEST_CASE("ABadVersionOnNineEntriesKeepsTheBounds")
{
  for (unsigned seed = 1; seed <= 10; ++seed) {
    CheckBounds({ .mSeed = seed,
                  .mEntries = 9,
                  .mUpstreamsEach = 18,
                  .mRequestsPerSecond = 70,
                  .mFault = { .mFails = 0.3, .mFromMs = 5000 },
                  .mGrayFailureShare = seed % 2 == 0 ? 0.15 : 0.0 });
  }
}

} // namespace peridotspool::rollout
