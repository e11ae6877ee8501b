// ctest-labels: gateway
#include "peridotspool/gateway/StartPlan.h"

#include <catch2/catch.hpp>

namespace peridotspool::gateway {

namespace {

TimePoint
At(int aMs)
{
  return TimePoint(std::chrono::seconds(1000) + std::chrono::milliseconds(aMs));
}

StartPlan
MakePlan()
{
  return { { .mWithin = std::chrono::seconds(2),
             .mWaitMost = std::chrono::milliseconds(500) },
           At(0) };
}

} // namespace

TEST_CASE("ARequestWaitsOnceForItsWholeTimeInAProcessThatHasJustStarted")
{
  const StartPlan plan = MakePlan();
  CHECK(plan.MayWait(At(100), At(100)) == std::chrono::milliseconds(500));
  CHECK(plan.MayWait(At(100), At(400)) == std::chrono::milliseconds(200));
  CHECK_FALSE(plan.MayWait(At(100), At(600)).has_value());
}

// Symptom: an entry that is cut off from control refuses everything half a
// second late, for as long as the cut lasts.
// Cause: a wait that is meant for a start, given at any time.
TEST_CASE("ALaterRequestIsRefusedAtOnce")
{
  CHECK(MakePlan().MayWait(At(1999), At(1999)).has_value());
  CHECK_FALSE(MakePlan().MayWait(At(2000), At(2000)).has_value());
  CHECK_FALSE(StartPlan().MayWait(At(0), At(0)).has_value());
}

// Symptom: an entry that was killed sends all that waits for it to one upstream
// of hundreds, right after it is back.
// Cause: the first replica's news were taken for all upstreams.
TEST_CASE("AStartingProcessHearsAllReplicasOrALittleLongerThanTheFirst")
{
  StartPlan plan = MakePlan();
  CHECK_FALSE(plan.KnowsEnough(At(10)));
  plan.TakeNews(1, 6, At(20));
  CHECK_FALSE(plan.KnowsEnough(At(169)));
  CHECK(plan.KnowsEnough(At(170)));
  plan.TakeNews(6, 6, At(30));
  CHECK(plan.KnowsEnough(At(30)));

  // One that hears nobody serves nobody, but doesn't wait for ever.
  CHECK_FALSE(MakePlan().KnowsEnough(At(1999)));
  CHECK(MakePlan().KnowsEnough(At(2000)));
  CHECK(StartPlan().KnowsEnough(At(0)));
}

} // namespace peridotspool::gateway
