// ctest-labels: unit
#include "peridotspool/routing/PartVerdict.h"

#include <catch2/catch.hpp>

#include <string>

namespace peridotspool::routing {

namespace {

const PromptPartId kFirst(1);
const PromptPartId kSecond(2);
const PromptPartId kOther(3);

TimePoint
At(int aMs)
{
  return TimePoint(std::chrono::seconds(1000) + std::chrono::milliseconds(aMs));
}

UpstreamIncarnation
Upstream(int aNumber)
{
  return { .mName = UpstreamName("u" + std::to_string(aNumber)) };
}

/** The evidence of crashes with these numbers, a second apart. */
PartCase
CaseOf(const std::vector<int>& aCrashes, bool aAnsweredBefore = false)
{
  PartCase one{ .mAnsweredBefore = aAnsweredBefore };
  for (const int number : aCrashes) {
    one.mEvidence.Add({ .mUpstream = Upstream(number),
                        .mSentAt = At(1000 * number - 100),
                        .mLostAt = At(1000 * number) });
  }
  return one;
}

std::vector<PromptCrash>
CrashesUntil(int aLast)
{
  std::vector<PromptCrash> crashes;
  for (int number = 1; number <= aLast; ++number) {
    crashes.push_back(
      { .mUpstream = Upstream(number), .mLostAt = At(1000 * number) });
  }
  return crashes;
}

QuarantineStage
StageOf(const std::map<PromptPartId, PartVerdict>& aVerdicts,
        PromptPartId aPart)
{
  const auto found = aVerdicts.find(aPart);
  return found == aVerdicts.end() ? QuarantineStage::kWatched
                                  : found->second.mStage;
}

} // namespace

TEST_CASE("PartInAllOfThreeCrashesIsRefused")
{
  const auto verdicts =
    JudgeParts({ { kFirst, CaseOf({ 1, 2, 3 }) }, { kOther, CaseOf({ 2 }) } },
               CrashesUntil(3));
  CHECK(StageOf(verdicts, kFirst) == QuarantineStage::kRefused);
  CHECK(StageOf(verdicts, kOther) == QuarantineStage::kWatched);
}

TEST_CASE("TwoCrashesAreNoVerdict")
{
  const auto verdicts =
    JudgeParts({ { kFirst, CaseOf({ 1, 2 }) } }, CrashesUntil(2));
  CHECK(StageOf(verdicts, kFirst) == QuarantineStage::kWatched);
}

TEST_CASE("PartThatWasAnsweredBeforeIsExplainedByOneThatWasNot")
{
  const auto verdicts = JudgeParts({ { kFirst, CaseOf({ 1, 2, 3, 4 }, true) },
                                     { kSecond, CaseOf({ 1, 2, 3 }) } },
                                   CrashesUntil(3));
  CHECK(StageOf(verdicts, kSecond) == QuarantineStage::kRefused);
  CHECK(StageOf(verdicts, kFirst) == QuarantineStage::kWatched);
}

TEST_CASE("PartsInTheSameCrashesFormAGroupAndRunOneAtATime")
{
  auto verdicts = JudgeParts(
    { { kFirst, CaseOf({ 1, 2, 3 }) }, { kSecond, CaseOf({ 1, 2, 3 }) } },
    CrashesUntil(3));
  CHECK(StageOf(verdicts, kFirst) == QuarantineStage::kOneAtATime);
  CHECK(StageOf(verdicts, kSecond) == QuarantineStage::kOneAtATime);
  CHECK(verdicts[kFirst].mGroup != 0);
  CHECK(verdicts[kFirst].mGroup == verdicts[kSecond].mGroup);
}

// Guards against refusing a part of sound requests because an entry failed
// before it could report a crash with the crashing part.
TEST_CASE("PartWithNearlyTheSameCrashesIsNotToldApart")
{
  const auto verdicts = JudgeParts(
    { { kFirst, CaseOf({ 1, 2, 3 }) }, { kSecond, CaseOf({ 1, 3 }) } },
    CrashesUntil(3));
  CHECK(StageOf(verdicts, kFirst) == QuarantineStage::kOneAtATime);
  CHECK(StageOf(verdicts, kSecond) == QuarantineStage::kWatched);
}

TEST_CASE("BesideCrashesOfOtherCausesFiveAreNeeded")
{
  const auto three =
    JudgeParts({ { kFirst, CaseOf({ 1, 3, 4 }) } }, CrashesUntil(4));
  CHECK(StageOf(three, kFirst) == QuarantineStage::kOneAtATime);
  const auto five =
    JudgeParts({ { kFirst, CaseOf({ 1, 3, 4, 5, 6 }) } }, CrashesUntil(6));
  CHECK(StageOf(five, kFirst) == QuarantineStage::kRefused);
}

TEST_CASE("CrashesBeforeTheFirstAndAfterTheLastDoNotMatter")
{
  const auto verdicts =
    JudgeParts({ { kFirst, CaseOf({ 2, 3, 4 }) } }, CrashesUntil(6));
  CHECK(StageOf(verdicts, kFirst) == QuarantineStage::kRefused);
}

// Five upstreams crash at once: of a popular part, which was answered before,
// this shows nothing. One that was never answered runs one at a time.
TEST_CASE("ConcurrentCrashesShowLittle")
{
  const auto concurrent = [](bool aAnsweredBefore) {
    PartCase one{ .mAnsweredBefore = aAnsweredBefore };
    for (int number = 1; number <= 5; ++number) {
      one.mEvidence.Add({ .mUpstream = Upstream(number),
                          .mSentAt = At(100),
                          .mLostAt = At(1000 + number) });
    }
    return one;
  };
  const auto verdicts = JudgeParts(
    { { kFirst, concurrent(true) }, { kOther, concurrent(false) } }, {});
  CHECK(StageOf(verdicts, kFirst) == QuarantineStage::kWatched);
  CHECK(StageOf(verdicts, kOther) == QuarantineStage::kOneAtATime);
}

} // namespace peridotspool::routing
