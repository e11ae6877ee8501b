// ctest-labels: unit
// After an overload, first events stayed late for as long as the load lasted,
// and half of the value of the largest prompts was lost, although the remaining
// engines could have prefilled everything. Engines crash and domains are
// reclaimed while the load rises, and prompts wait in the engines for seconds;
// then the load falls back to the former level and the waits remain. The cause
// was that each late first event added the same delay to the estimated backlog
// of its engine, once for each prompt that waited there. Idle engines were
// estimated to be seconds behind, so prompts went to engines that did not cache
// their prefix and were prefilled again there, which kept first events late.
//
// In the simulation below, 25% of the engines had nothing to prefill and 2%
// were estimated so, and the estimated wait was 3.5 s where the actual one was
// 0.7 s. With the delay counted once and nothing else changed, 99% of the
// prompts were on time again after the overload, and 60% to 86% without that
// change.
#include "gateway/LoadSimulation.h"

#include <catch2/catch.hpp>

namespace peridotspool::gateway {

namespace {

constexpr double kFullLoadFromMs = 16000.0;
constexpr double kOverloadFromMs = 24000.0;
constexpr double kOverloadToMs = 32000.0;
/**
 * By the end of one caller timeout (mTimeoutMs) all prompts that waited at the
 * end of the overload have been prefilled or cancelled; the rest allows the
 * prefix caches to recover.
 */
constexpr double kRecoveryMs = 12000.0;

/** At the full load, engines prefill two thirds of what they can. */
const Deployment kBusy{ .mEntries = 70,
                        .mEngines = 80,
                        .mPrefixCount = 1172,
                        .mSlots = 16,
                        .mCacheTokens = 430000,
                        .mTokensPerMs = 50.0,
                        .mFirstMs = 55.0,
                        .mStepMs = 6.0,
                        .mSharedTokens = 13300,
                        .mMeanPrompt = 3720.0,
                        .mLongestPrompt = 53200.0,
                        .mAnswerTokens = 120.0,
                        .mPromptsPerMs = 0.33,
                        .mObjectiveMs = 1000.0,
                        .mTimeoutMs = 4000.0,
                        .mDurationMs = 60000.0 };

TimePoint
At(int aMs)
{
  return TimePoint(std::chrono::seconds(1000) + std::chrono::milliseconds(aMs));
}

std::chrono::milliseconds
WaitAt(const LoadCoordinator& aCoordinator,
       const UpstreamName& aUpstream,
       int aMs)
{
  const LoadResponse response =
    aCoordinator.HandleQuery(LoadQuery{ .mUpstreams = { aUpstream } }, At(aMs));
  return std::chrono::duration_cast<std::chrono::milliseconds>(
    std::chrono::microseconds(response.mLoads.at(0).mWaitUs));
}

/**
 * Half of the load, the full load, 2.2 times as much for 8 s, then the full
 * load again.
 */
std::vector<Arrival>
MakeOverload(const Deployment& aDeployment, unsigned aSeed)
{
  return MakeLoad(
    aDeployment,
    aSeed,
    { { .mFromMs = 0.0, .mToMs = kFullLoadFromMs, .mRateFactor = 0.5 },
      { .mFromMs = kOverloadFromMs,
        .mToMs = kOverloadToMs,
        .mRateFactor = 2.2 } });
}

void
CheckRecovery(const Deployment& aDeployment, unsigned aSeed, double aMinBefore)
{
  LoadSimulation simulation(aDeployment, Policy::kCoordinators);
  simulation.Run(MakeOverload(aDeployment, aSeed));
  const Outcome before =
    simulation.OutcomeBetween(kFullLoadFromMs, kOverloadFromMs);
  const Outcome after = simulation.OutcomeBetween(kOverloadToMs + kRecoveryMs,
                                                  aDeployment.mDurationMs);
  INFO("seed " << aSeed << ": within 1,000 ms " << before.mOnTimeFraction
               << " before the overload, " << after.mOnTimeFraction
               << " from 12 s after it on; p95 " << before.mP95Ms << " and "
               << after.mP95Ms << " ms; prefilled " << before.mPrefilledFraction
               << " and " << after.mPrefilledFraction
               << " of the tokens; refused " << after.mRefusedFraction);
  CHECK(before.mOnTimeFraction > aMinBefore);
  CHECK(after.mOnTimeFraction > before.mOnTimeFraction - 0.03);
}

} // namespace

TEST_CASE("FirstEventLatencyRecoversAfterAnOverload")
{
  for (const unsigned seed : { 1U, 2U, 3U }) {
    CheckRecovery(kBusy, seed, 0.95);
  }
}

// With a quarter fewer engines, the prompts keep all engines busy. Prefilling
// prompts whose callers get a late response or have disconnected delays the
// next ones, so after an overload of 8 s no first event was on time for the
// rest of the simulation, at the load at which 86% to 98% were on time before.
// The cause was that prompts known to be late were sent anyway.
TEST_CASE("PromptsExpectedToBeLateDoNotDelayOthers")
{
  Deployment full = kBusy;
  full.mEngines = 60;
  for (const unsigned seed : { 1U, 2U, 3U }) {
    CheckRecovery(full, seed, 0.8);
  }
}

// During an overload hardly any first event was on time, although the engines
// prefilled two thirds of the tokens. All batch slots are occupied and as many
// prompts wait for one; with little left to prefill, the next prompts were sent
// there too. The cause was that only the prefill backlog counted as waiting,
// and not the wait for a slot. With 68 entries over ten seconds, first events
// came 1.3 s later than estimated at engines with 1.5 times as many requests as
// slots, 2.1 s later with twice as many, and 0.03 to 0.1 s later with free
// slots.
TEST_CASE("HalfOfThePromptsAreOnTimeDuringAnOverload")
{
  for (const unsigned seed : { 1U, 2U, 3U }) {
    LoadSimulation simulation(kBusy, Policy::kCoordinators);
    simulation.Run(MakeOverload(kBusy, seed));
    const Outcome during =
      simulation.OutcomeBetween(kOverloadToMs - 4000.0, kOverloadToMs);
    INFO("seed " << seed << ": within 1,000 ms " << during.mOnTimeFraction
                 << " in the last four seconds, refused "
                 << during.mRefusedFraction);
    CHECK(during.mOnTimeFraction > 0.5);
  }
}

// During an overload every fourth prompt waited three times as long as the
// others. Busy entries respond to some load queries too late, and a missing
// response was treated as no load, so that engine looked like the soonest and
// was chosen. Of 13,000 prompts in ten seconds on 68 entries, 6,500 continued
// with responses missing, 2,950 of them to an engine that was taken for empty;
// their first events took 1.66 s, those of prompts with all responses 0.56 s.
TEST_CASE("AnEngineWithoutALoadResponseIsNotAssumedIdle")
{
  Deployment lateResponses = kBusy;
  lateResponses.mLateResponseShare = 0.4;
  for (const unsigned seed : { 1U, 2U, 3U }) {
    const auto load = MakeLoad(
      kBusy,
      seed,
      { { .mFromMs = 0.0, .mToMs = kFullLoadFromMs, .mRateFactor = 0.5 } });
    LoadSimulation withAll(kBusy, Policy::kCoordinators);
    withAll.Run(load);
    LoadSimulation withLate(lateResponses, Policy::kCoordinators);
    withLate.Run(load);
    const Outcome complete =
      withAll.OutcomeBetween(kFullLoadFromMs, kBusy.mDurationMs);
    const Outcome partial =
      withLate.OutcomeBetween(kFullLoadFromMs, kBusy.mDurationMs);
    INFO("seed " << seed << ": within 1,000 ms " << complete.mOnTimeFraction
                 << " with all responses, " << partial.mOnTimeFraction
                 << " with 60 of 100 responses; p95 " << complete.mP95Ms
                 << " and " << partial.mP95Ms << " ms; prefilled "
                 << complete.mPrefilledFraction << " and "
                 << partial.mPrefilledFraction);
    CHECK(partial.mOnTimeFraction > complete.mOnTimeFraction - 0.03);
  }
}

// Five prompts of 100 ms each wait at an engine that starts 300 ms late. After
// three of them two remain to be prefilled, whatever the delay.
TEST_CASE("EngineDelayIsCountedOnceHoweverManyPromptsWait")
{
  const UpstreamName name("u");
  constexpr int kPrefillMs = 100;
  constexpr int kDelayMs = 300;
  LoadCoordinator coordinator;
  for (std::uint64_t send = 1; send <= 5; ++send) {
    coordinator.Handle(SendStartedReport{ .mUpstream = name,
                                          .mSendId = send,
                                          .mPrefillUs = 1000 * kPrefillMs },
                       At(0));
  }
  CHECK(WaitAt(coordinator, name, 0).count() == 5 * kPrefillMs);
  for (std::uint64_t send = 1; send <= 3; ++send) {
    const int now = static_cast<int>(send) * kPrefillMs + kDelayMs;
    coordinator.Handle(PrefillDoneReport{ .mUpstream = name, .mSendId = send },
                       At(now));
    INFO("after " << send << " of 5 prompts");
    CHECK(WaitAt(coordinator, name, now).count() ==
          static_cast<int>(5 - send) * kPrefillMs);
  }
}

} // namespace peridotspool::gateway
