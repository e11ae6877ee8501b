// ctest-labels: promise-rollout
// Simulates rollouts of sound and bad versions over many entries, with and
// without disruptions, and checks the new version's requests and the outcome.

#include "rollout/RolloutSimulation.h"

#include <catch2/catch.hpp>

#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

namespace peridotspool::rollout {

namespace {

struct Deployment
{
  int mEntries;
  int mUpstreamsEach;
  int mRequestsPerSecond;
};

const std::vector<Deployment> kDeployments = { { 9, 18, 70 },
                                               { 86, 60, 240 },
                                               { 300, 160, 900 } };

RolloutSimulationOptions
On(const Deployment& aDeployment, unsigned aSeed)
{
  return { .mSeed = aSeed,
           .mEntries = aDeployment.mEntries,
           .mUpstreamsEach = aDeployment.mUpstreamsEach,
           .mRequestsPerSecond = aDeployment.mRequestsPerSecond };
}

std::string
ToText(const RolloutSimulationOptions& aOptions,
       const RolloutSimulationOutcome& aOutcome)
{
  return "seed " + std::to_string(aOptions.mSeed) + ", " +
         std::to_string(aOptions.mEntries) + " entries: state " +
         std::to_string(static_cast<int>(aOutcome.mState)) + " after " +
         std::to_string(aOutcome.mEndedMs) + " ms (" + aOutcome.mReason +
         "), new " + std::to_string(aOutcome.mNew) + " of " +
         std::to_string(aOutcome.mRequests) + ", bad " +
         std::to_string(aOutcome.mBadAnswers) + ", late " +
         std::to_string(aOutcome.mLate) + ", interrupted " +
         std::to_string(aOutcome.mInterrupted);
}

/**
 * The route has a seventh of the requests. On the smallest deployment, twelve
 * of them reach the new version before the shift, too few to show the fault.
 */
const VersionFault kRareRoute = { .mFails = 0.6, .mRareRouteOnly = true };

const std::vector<VersionFault> kFaults = {
  { .mFails = 1.0 },
  { .mFails = 0.3 },
  { .mFails = 0.3, .mFromMs = 5000 },
  { .mFails = 1.0, .mFromMs = 7000 },
  { .mSlows = 1.0, .mSlowTimes = 4.0 },
  { .mSlows = 0.5, .mSlowTimes = 8.0 },
};

} // namespace

// Guards against a bad version that receives more requests than the bound
// allows.
TEST_CASE("ABadVersionKeepsTheBoundsAndIsRolledBack")
{
  for (const Deployment& deployment : kDeployments) {
    for (const VersionFault& fault : kFaults) {
      for (unsigned seed = 1; seed <= 3; ++seed) {
        RolloutSimulationOptions options = On(deployment, seed);
        options.mFault = fault;
        options.mMessageLoss = 0.02;
        const RolloutSimulationOutcome outcome = SimulateRollout(options);
        INFO(ToText(options, outcome)
             << "; fails " << fault.mFails << " slows " << fault.mSlows
             << " from " << fault.mFromMs << " above " << fault.mAboveLoad
             << " rare " << fault.mRareRouteOnly);
        CHECK(outcome.mState == RolloutState::kRolledBack);
        CHECK_FALSE(outcome.mOverExposed);
        CHECK(outcome.mLate == 0);
      }
    }
  }
}

// Guards against a fault on a route that sends few requests to the new version.
TEST_CASE("AVersionThatIsBadOnOneRouteIsRolledBack")
{
  for (std::size_t place = 1; place < kDeployments.size(); ++place) {
    for (unsigned seed = 1; seed <= 3; ++seed) {
      RolloutSimulationOptions options = On(kDeployments[place], seed);
      options.mFault = kRareRoute;
      options.mMessageLoss = 0.02;
      const RolloutSimulationOutcome outcome = SimulateRollout(options);
      INFO(ToText(options, outcome));
      CHECK(outcome.mState == RolloutState::kRolledBack);
      CHECK_FALSE(outcome.mOverExposed);
      CHECK(outcome.mLate == 0);
    }
  }
}

// Guards against a version that is bad only under the load of all callers.
TEST_CASE("AVersionThatIsBadUnderLoadIsRolledBackWhileItsShareRises")
{
  for (unsigned seed = 1; seed <= 5; ++seed) {
    RolloutSimulationOptions options = On(kDeployments[1], seed);
    options.mMeanMs = 1500.0;
    options.mFault = { .mFails = 0.5, .mAboveLoad = 4 };
    const RolloutSimulationOutcome outcome = SimulateRollout(options);
    INFO(ToText(options, outcome));
    CHECK(outcome.mState == RolloutState::kRolledBack);
    CHECK_FALSE(outcome.mOverExposed);
    CHECK(outcome.mLate == 0);
  }
}

// Guards against rolling back sound versions, and against interrupted requests.
TEST_CASE("ASoundVersionIsCompletedInTime")
{
  for (const Deployment& deployment : kDeployments) {
    for (unsigned seed = 1; seed <= 10; ++seed) {
      RolloutSimulationOptions options = On(deployment, seed);
      options.mGrayFailureShare = seed % 2 == 0 ? 0.15 : 0.0;
      options.mDisruptionPeriodMs = seed % 3 == 0 ? 10000 : 0;
      options.mMessageLoss = seed % 5 == 0 ? 0.05 : 0.0;
      const RolloutSimulationOutcome outcome = SimulateRollout(options);
      INFO(ToText(options, outcome));
      CHECK(outcome.mState == RolloutState::kCompleted);
      CHECK(outcome.mEndedMs <= options.mDurationMs);
      CHECK(outcome.mInterrupted == 0);
    }
  }
}

// Guards against a rollback that depends on one leader.
TEST_CASE("ABadVersionKeepsTheBoundsWhenTheLeaderIsKilled")
{
  for (const Deployment& deployment : kDeployments) {
    for (const std::uint64_t bad : { 1, 10, 30, 49 }) {
      RolloutSimulationOptions options = On(deployment, 1);
      options.mFault = { .mFails = 0.3 };
      options.mLeaderKilledAtBad = bad;
      options.mDisruptionPeriodMs = 10000;
      const RolloutSimulationOutcome outcome = SimulateRollout(options);
      INFO(ToText(options, outcome) << "; killed at bad answer " << bad);
      CHECK(outcome.mState == RolloutState::kRolledBack);
      CHECK_FALSE(outcome.mOverExposed);
      CHECK(outcome.mLate == 0);
    }
  }
}

// Guards against a rollout that a new leader aborts or loses.
TEST_CASE("ASoundVersionIsCompletedByTheNextLeader")
{
  for (const int killed : { 500, 3000, 6500, 8000, 9500 }) {
    RolloutSimulationOptions options = On(kDeployments[1], 1);
    options.mLeaderKilledMs = killed;
    const RolloutSimulationOutcome outcome = SimulateRollout(options);
    INFO(ToText(options, outcome) << "; killed after " << killed << " ms");
    CHECK(outcome.mState == RolloutState::kCompleted);
    CHECK(outcome.mEndedMs <= options.mDurationMs);
  }
}

// Prints how often bad versions are missed and sound ones are rolled back, for
// docs/design/rollout.md. PERIDOTSPOOL_PLAYS sets the number of seeds of each
// case.
TEST_CASE("Figures", "[.]")
{
  const char* given = std::getenv("PERIDOTSPOOL_PLAYS");
  const unsigned plays = given == nullptr ? 20 : std::stoul(given);
  std::vector<VersionFault> faults = kFaults;
  faults.push_back(kRareRoute);
  faults.push_back({ .mFails = 0.03 });
  faults.push_back({ .mFails = 0.1 });
  faults.push_back({ .mSlows = 1.0, .mSlowTimes = 2.0 });
  faults.push_back({ .mSlows = 0.3, .mSlowTimes = 4.0 });
  faults.push_back({});
  for (const Deployment& deployment : kDeployments) {
    for (const VersionFault& fault : faults) {
      int completed = 0;
      int overExposed = 0;
      int late = 0;
      int inTime = 0;
      for (unsigned seed = 1; seed <= plays; ++seed) {
        RolloutSimulationOptions options = On(deployment, 1000 + seed);
        options.mFault = fault;
        options.mGrayFailureShare = seed % 2 == 0 ? 0.15 : 0.0;
        options.mDisruptionPeriodMs = seed % 3 == 0 ? 10000 : 0;
        options.mMessageLoss = seed % 5 == 0 ? 0.05 : 0.01;
        options.mLeaderKilledMs = seed % 7 == 0 ? 1000 * (seed % 10) : 0;
        const RolloutSimulationOutcome outcome = SimulateRollout(options);
        completed += outcome.mState == RolloutState::kCompleted ? 1 : 0;
        inTime += outcome.mEndedMs <= options.mDurationMs ? 1 : 0;
        overExposed += outcome.mOverExposed ? 1 : 0;
        late += outcome.mLate != 0 ? 1 : 0;
      }
      std::printf(
        "%3d entries; fails %.2f slows %.2f x%.0f from %d ms rare %d: "
        "of %u completed %d, ended in time %d, over-exposed %d, "
        "late %d\n",
        deployment.mEntries,
        fault.mFails,
        fault.mSlows,
        fault.mSlowTimes,
        fault.mFromMs,
        fault.mRareRouteOnly ? 1 : 0,
        plays,
        completed,
        inTime,
        fault.IsBad() ? overExposed : 0,
        fault.IsBad() ? late : 0);
    }
  }
}

} // namespace peridotspool::rollout
