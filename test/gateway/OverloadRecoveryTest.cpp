// ctest-labels: unit
// Symptom: too little was served on heavy days. Half of the worth of the
// largest prompts was lost for the rest of the day, though nothing more
// happened, and the engines that were left could have read all that was asked
// of them. Sequence: engines crash and domains are reclaimed while more is
// asked for; prompts wait in the engines for seconds. Then the load falls back
// to what it was, and the waits stay. Cause: each first event that came late
// made the engine as much later in the beliefs, once for each of the prompts
// that waited there one behind the other. Engines were believed to be seconds
// behind that had nothing to read, so prompts went to others that didn't keep
// their prefix, and were read again there, which kept first events late.
// Evidence: in the play below 25 of 100 engines had nothing to read and 2 were
// believed to, and 3.5 s of waiting were believed in where 0.7 s were waited.
// With the lateness counted once, and nothing else changed, 99 of 100 prompts
// came in time again instead of 60 to 86.
#include "gateway/LoadSimulation.h"

#include <catch2/catch.hpp>

namespace peridotspool::gateway {

namespace {

constexpr double kFullLoadFromMs = 16000.0;
constexpr double kOverloadFromMs = 24000.0;
constexpr double kOverloadToMs = 32000.0;
/** All that waits at the overload's end has been read or its caller has left
 * after one patience; as long again for the prefixes. */
constexpr double kRecoveryMs = 12000.0;

/** Engines that read two thirds of what they can on an ordinary day. */
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

/** Half of the load, all of it, 2.2 times as much for 8 s, all of it again. */
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
               << after.mP95Ms << " ms; read " << before.mPrefilledFraction
               << " and " << after.mPrefilledFraction
               << " of the tokens; refused " << after.mRefusedFraction);
  CHECK(before.mOnTimeFraction > aMinBefore);
  CHECK(after.mOnTimeFraction > before.mOnTimeFraction - 0.03);
}

} // namespace

TEST_CASE("AfterAnOverloadFirstEventsComeAsSoonAsBefore")
{
  for (const unsigned seed : { 1U, 2U, 3U }) {
    CheckRecovery(kBusy, seed, 0.95);
  }
}

// With a quarter less of engines all prompts together leave none of them a
// moment without one, and none comes in time: what is read is for callers whose
// answers come late or who have left, and it keeps the next ones waiting.
// Sequence: 86 to 98 of 100 came in time; after an overload of 8 s none did,
// for as long as the play goes on, at the load of before. Cause: a prompt that
// is known to be late was sent all the same.
TEST_CASE("WhatWouldBeLateDoesNotMakeAllOthersLate")
{
  Deployment full = kBusy;
  full.mEngines = 60;
  for (const unsigned seed : { 1U, 2U, 3U }) {
    CheckRecovery(full, seed, 0.8);
  }
}

// Symptom: during an overload itself hardly anybody got a first event in time,
// while the engines read two thirds of what was asked.
// Sequence: all places of the engines' batches are taken, and as many prompts
// wait for one. There is little left to read, so the next ones are sent too.
// Cause: only what is to be read counted as waiting, a place in the batch
// didn't. Evidence: first events of prompts sent to an engine with one and a
// half times its places taken came 1.3 s later than believed, with twice as
// many 2.1 s later, with places free 0.03 to 0.1 s later (68 entries, ten
// seconds).
TEST_CASE("WhileTooMuchIsAskedHalfOfItIsStillInTime")
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

// Symptom: during an overload every fourth prompt waited three times as long as
// the others.
// Sequence: entries that have much to do answer some questions about an
// engine's load too late. What isn't heard in time is taken as nothing to do,
// so that engine looks like the soonest and is chosen. Cause: no word was taken
// for good news. Of 13,000 prompts in ten seconds on 68 entries 6,500 went on
// without a word from all whom they asked, 2,950 of them to an engine that was
// believed empty; their first events came after 1.66 s, those of prompts with
// every word after 0.56 s.
TEST_CASE("AnEngineOfWhichNothingIsHeardIsNotTakenForIdle")
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
                 << " with every word, " << partial.mOnTimeFraction
                 << " with 60 of 100; p95 " << complete.mP95Ms << " and "
                 << partial.mP95Ms << " ms; read "
                 << complete.mPrefilledFraction << " and "
                 << partial.mPrefilledFraction);
    CHECK(partial.mOnTimeFraction > complete.mOnTimeFraction - 0.03);
  }
}

// Five prompts of 100 ms each wait at an engine that begins 300 ms late. After
// three of them it has two to read, whatever was late before.
TEST_CASE("ALateEngineIsLateOnceHoweverManyPromptsWaitThere")
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
