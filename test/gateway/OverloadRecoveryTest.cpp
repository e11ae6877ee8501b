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
#include "gateway/LoadPlay.h"

#include <catch2/catch.hpp>

namespace peridotspool::gateway {

namespace {

constexpr double kWholeLoadFromMs = 16000.0;
constexpr double kOverloadFromMs = 24000.0;
constexpr double kOverloadToMs = 32000.0;
/** All that waits at the overload's end has been read or its caller has left
 * after one patience; as long again for the prefixes. */
constexpr double kAgainAfterMs = 12000.0;

/** Engines that read two thirds of what they can on an ordinary day. */
const Deployment kBusy{ .mEntries = 70,
                        .mEngines = 80,
                        .mSubjects = 1172,
                        .mSlots = 16,
                        .mMemory = 430000,
                        .mTokensPerMs = 50.0,
                        .mFirstMs = 55.0,
                        .mStepMs = 6.0,
                        .mShared = 13300,
                        .mMeanPrompt = 3720.0,
                        .mLongestPrompt = 53200.0,
                        .mAnswerTokens = 120.0,
                        .mPromptsPerMs = 0.33,
                        .mObjectiveMs = 1000.0,
                        .mPatienceMs = 4000.0,
                        .mDayMs = 60000.0 };

TimePoint
At(int aMs)
{
  return TimePoint(std::chrono::seconds(1000) + std::chrono::milliseconds(aMs));
}

std::chrono::milliseconds
WaitAt(const LoadKeeper& aKeeper, const UpstreamName& aUpstream, int aMs)
{
  const LoadTold told =
    aKeeper.Answer(LoadAsk{ .mUpstreams = { aUpstream } }, At(aMs));
  return std::chrono::duration_cast<std::chrono::milliseconds>(
    std::chrono::microseconds(told.mLines.at(0).mWaitUs));
}

/** Half of the load, all of it, 2.2 times as much for 8 s, all of it again. */
std::vector<Arrival>
MakeOverload(const Deployment& aDeployment, unsigned aSeed)
{
  return MakeLoad(
    aDeployment,
    aSeed,
    { { .mFromMs = 0.0, .mToMs = kWholeLoadFromMs, .mTimes = 0.5 },
      { .mFromMs = kOverloadFromMs, .mToMs = kOverloadToMs, .mTimes = 2.2 } });
}

void
CheckRecovery(const Deployment& aDeployment,
              unsigned aSeed,
              double aLeastBefore)
{
  LoadPlay play(aDeployment, Policy::kByKeepers);
  play.Run(MakeOverload(aDeployment, aSeed));
  const Outcome before = play.Of(kWholeLoadFromMs, kOverloadFromMs);
  const Outcome after =
    play.Of(kOverloadToMs + kAgainAfterMs, aDeployment.mDayMs);
  INFO("seed " << aSeed << ": within 1,000 ms " << before.mInObjective
               << " before the overload, " << after.mInObjective
               << " from 12 s after it on; p95 " << before.mP95Ms << " and "
               << after.mP95Ms << " ms; read " << before.mRead << " and "
               << after.mRead << " of the tokens; refused " << after.mRefused);
  CHECK(before.mInObjective > aLeastBefore);
  CHECK(after.mInObjective > before.mInObjective - 0.03);
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
    LoadPlay play(kBusy, Policy::kByKeepers);
    play.Run(MakeOverload(kBusy, seed));
    const Outcome during = play.Of(kOverloadToMs - 4000.0, kOverloadToMs);
    INFO("seed " << seed << ": within 1,000 ms " << during.mInObjective
                 << " in the last four seconds, refused " << during.mRefused);
    CHECK(during.mInObjective > 0.5);
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
  Deployment hardOfHearing = kBusy;
  hardOfHearing.mUnheard = 0.4;
  for (const unsigned seed : { 1U, 2U, 3U }) {
    const auto load = MakeLoad(
      kBusy,
      seed,
      { { .mFromMs = 0.0, .mToMs = kWholeLoadFromMs, .mTimes = 0.5 } });
    LoadPlay hears(kBusy, Policy::kByKeepers);
    hears.Run(load);
    LoadPlay misses(hardOfHearing, Policy::kByKeepers);
    misses.Run(load);
    const Outcome all = hears.Of(kWholeLoadFromMs, kBusy.mDayMs);
    const Outcome most = misses.Of(kWholeLoadFromMs, kBusy.mDayMs);
    INFO("seed " << seed << ": within 1,000 ms " << all.mInObjective
                 << " with every word, " << most.mInObjective
                 << " with 60 of 100; p95 " << all.mP95Ms << " and "
                 << most.mP95Ms << " ms; read " << all.mRead << " and "
                 << most.mRead);
    CHECK(most.mInObjective > all.mInObjective - 0.03);
  }
}

// Five prompts of 100 ms each wait at an engine that begins 300 ms late. After
// three of them it has two to read, whatever was late before.
TEST_CASE("ALateEngineIsLateOnceHoweverManyPromptsWaitThere")
{
  const UpstreamName name("u");
  constexpr int kReadingMs = 100;
  constexpr int kLateMs = 300;
  LoadKeeper keeper;
  for (std::uint64_t send = 1; send <= 5; ++send) {
    keeper.Take(LoadSent{ .mUpstream = name,
                          .mSend = send,
                          .mReadUs = 1000 * kReadingMs },
                At(0));
  }
  CHECK(WaitAt(keeper, name, 0).count() == 5 * kReadingMs);
  for (std::uint64_t send = 1; send <= 3; ++send) {
    const int now = static_cast<int>(send) * kReadingMs + kLateMs;
    keeper.Take(LoadBegun{ .mUpstream = name, .mSend = send }, At(now));
    INFO("after " << send << " of 5 prompts");
    CHECK(WaitAt(keeper, name, now).count() ==
          static_cast<int>(5 - send) * kReadingMs);
  }
}

} // namespace peridotspool::gateway
