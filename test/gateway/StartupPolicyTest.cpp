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

TEST_CASE("ARequestAtAStartingProcessWaitsUpToTheMaximumOnce")
{
  const StartupPolicy plan = MakePlan();
  CHECK(plan.RemainingWait(At(100), At(100)) == std::chrono::milliseconds(500));
  CHECK(plan.RemainingWait(At(100), At(400)) == std::chrono::milliseconds(200));
  CHECK_FALSE(plan.RemainingWait(At(100), At(600)).has_value());
}

// Guards against an entry that delays all its refusals by half a second while
// it is partitioned from control: only requests at startup may wait.
TEST_CASE("ARequestAfterTheStartupPeriodIsRefusedAtOnce")
{
  CHECK(MakePlan().RemainingWait(At(1999), At(1999)).has_value());
  CHECK_FALSE(MakePlan().RemainingWait(At(2000), At(2000)).has_value());
  CHECK_FALSE(StartupPolicy().RemainingWait(At(0), At(0)).has_value());
}

// Guards against a restarted entry that sends all waiting requests to one
// upstream of hundreds, because it takes the first replica's update for the
// complete list of upstreams.
TEST_CASE("AStartingProcessAwaitsAllReplicasOrTheUpdateCollectionTime")
{
  StartupPolicy plan = MakePlan();
  CHECK_FALSE(plan.HasEnoughUpdates(At(10)));
  plan.RecordUpdates(1, 6, At(20));
  CHECK_FALSE(plan.HasEnoughUpdates(At(169)));
  CHECK(plan.HasEnoughUpdates(At(170)));
  plan.RecordUpdates(6, 6, At(30));
  CHECK(plan.HasEnoughUpdates(At(30)));

  // Without any update the wait ends with the startup period.
  CHECK_FALSE(MakePlan().HasEnoughUpdates(At(1999)));
  CHECK(MakePlan().HasEnoughUpdates(At(2000)));
  CHECK(StartupPolicy().HasEnoughUpdates(At(0)));
}

} // namespace peridotspool::gateway
