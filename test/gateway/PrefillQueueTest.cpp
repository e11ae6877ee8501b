// ctest-labels: unit
#include "peridotspool/gateway/PrefillQueue.h"
#include "peridotspool/gateway/PrefillRate.h"

#include <catch2/catch.hpp>

namespace peridotspool::gateway {

namespace {

using std::chrono::milliseconds;

TimePoint
At(int aMs)
{
  return TimePoint(std::chrono::seconds(1000) + milliseconds(aMs));
}

} // namespace

TEST_CASE("PromptsArePrefilledSequentially")
{
  PrefillQueue queue;
  CHECK(queue.Wait(At(0)) == Duration(0));
  CHECK(queue.Add(milliseconds(100), At(0)) == At(100));
  CHECK(queue.Add(milliseconds(50), At(10)) == At(150));
  CHECK(queue.Wait(At(20)) == milliseconds(130));
  CHECK(queue.Wait(At(200)) == Duration(0));
  CHECK(queue.Add(milliseconds(10), At(300)) == At(310));
}

TEST_CASE("AnEarlyOrLatePrefillShiftsThePromptsBehindIt")
{
  PrefillQueue queue;
  const TimePoint first = queue.Add(milliseconds(100), At(0));
  queue.Add(milliseconds(50), At(0));
  queue.RecordPrefillDone(first, At(160));
  CHECK(queue.Wait(At(160)) == milliseconds(50));
  // A wrong estimate must not exclude an engine for long.
  queue.Add(std::chrono::hours(1), At(200));
  CHECK(queue.Wait(At(200)) <= std::chrono::seconds(10));
  queue.RecordPrefillDone(first, At(60000));
  CHECK(queue.Wait(At(60000)) <= std::chrono::seconds(10));
}

TEST_CASE("TheSameDelayIsCountedOnce")
{
  PrefillQueue queue;
  const TimePoint first = queue.Add(milliseconds(100), At(0));
  const TimePoint second = queue.Add(milliseconds(100), At(0));
  queue.Add(milliseconds(100), At(0));
  queue.RecordPrefillDone(first, At(500));
  CHECK(queue.Wait(At(500)) == milliseconds(200));
  queue.RecordPrefillDone(second, At(600));
  CHECK(queue.Wait(At(600)) == milliseconds(100));
  // Prompts added later queue behind them and inherit the delay.
  const TimePoint last = queue.Add(milliseconds(100), At(650));
  CHECK(queue.Wait(At(650)) == milliseconds(150));
  queue.RecordPrefillDone(last, At(800));
  CHECK(queue.Wait(At(800)) == Duration(0));
}

TEST_CASE("CancelledPromptsAreNotWaitedFor")
{
  PrefillQueue queue;
  queue.Add(milliseconds(100), At(0));
  const TimePoint second = queue.Add(milliseconds(100), At(0));
  queue.RemovePending(milliseconds(100));
  CHECK(queue.Wait(At(0)) == milliseconds(100));
  queue.RecordPrefillDone(second, At(100));
  CHECK(queue.Wait(At(100)) == Duration(0));
}

TEST_CASE("PrefillRateFollowsTheSamples")
{
  PrefillRate rate;
  for (int i = 0; i < 60; ++i) {
    rate.AddSample(10000, milliseconds(100));
    rate.AddSample(20, milliseconds(100));
    rate.AddSample(10000, Duration(0));
  }
  CHECK(rate.PrefillTime(10000) > milliseconds(98));
  CHECK(rate.PrefillTime(10000) < milliseconds(102));
}

} // namespace peridotspool::gateway
