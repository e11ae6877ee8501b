// ctest-labels: gateway
#include "peridotspool/gateway/StartupPolicy.h"

#include <catch2/catch.hpp>

namespace peridotspool::gateway {

namespace {

TimePoint
At(int aMs)
{
  return TimePoint(std::chrono::seconds(1000) + std::chrono::milliseconds(aMs));
}

StartupPolicy
MakePlan()
{
  return { { .mStartupPeriod = std::chrono::seconds(2),
             .mMaxWait = std::chrono::milliseconds(500) },
           At(0) };
}

} // namespace

TEST_CASE("ARequestWaitsOnceForItsWholeTimeInAProcessThatHasJustStarted")
{
  const StartupPolicy plan = MakePlan();
  CHECK(plan.RemainingWait(At(100), At(100)) == std::chrono::milliseconds(500));
  CHECK(plan.RemainingWait(At(100), At(400)) == std::chrono::milliseconds(200));
  CHECK_FALSE(plan.RemainingWait(At(100), At(600)).has_value());
}

// Symptom: an entry that is cut off from control refuses everything half a
// second late, for as long as the cut lasts.
// Cause: a wait that is meant for a start, given at any time.
TEST_CASE("ALaterRequestIsRefusedAtOnce")
{
  CHECK(MakePlan().RemainingWait(At(1999), At(1999)).has_value());
  CHECK_FALSE(MakePlan().RemainingWait(At(2000), At(2000)).has_value());
  CHECK_FALSE(StartupPolicy().RemainingWait(At(0), At(0)).has_value());
}

// Symptom: an entry that was killed sends all that waits for it to one upstream
// of hundreds, right after it is back.
// Cause: the first replica's news were taken for all upstreams.
TEST_CASE("AStartingProcessHearsAllReplicasOrALittleLongerThanTheFirst")
{
  StartupPolicy plan = MakePlan();
  CHECK_FALSE(plan.HasEnoughUpdates(At(10)));
  plan.RecordUpdates(1, 6, At(20));
  CHECK_FALSE(plan.HasEnoughUpdates(At(169)));
  CHECK(plan.HasEnoughUpdates(At(170)));
  plan.RecordUpdates(6, 6, At(30));
  CHECK(plan.HasEnoughUpdates(At(30)));

  // One that hears nobody serves nobody, but doesn't wait for ever.
  CHECK_FALSE(MakePlan().HasEnoughUpdates(At(1999)));
  CHECK(MakePlan().HasEnoughUpdates(At(2000)));
  CHECK(StartupPolicy().HasEnoughUpdates(At(0)));
}

} // namespace peridotspool::gateway
