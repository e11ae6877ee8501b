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

} // namespace peridotspool::gateway
