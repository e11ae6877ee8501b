// ctest-labels: promise-graceful-stop
#include "peridotspool/gateway/ShutdownPolicy.h"

#include <catch2/catch.hpp>

namespace peridotspool::gateway {

namespace {

TimePoint
At(int aMs)
{
  return TimePoint(std::chrono::seconds(1000) + std::chrono::milliseconds(aMs));
}

} // namespace

// Guards against a planned stop that truncates a response although the grace
// period is not over. A process that exited 0.4 s early truncated a response
// that its upstream had completed 33 ms before: more of the grace period was
// reserved than exiting takes.
TEST_CASE("ABusyProcessRunsUntilTheEndOfItsGracePeriod")
{
  ShutdownPolicy plan({}, At(0));
  CHECK(plan.Step(false, At(2500)) == ShutdownStage::kAccepting);
  CHECK(plan.Step(false, At(2550)) == ShutdownStage::kRefusing);
  CHECK(plan.Step(false, At(7900)) == ShutdownStage::kRefusing);
  CHECK(plan.Step(false, At(7960)) == ShutdownStage::kComplete);
}

TEST_CASE("AQuietProcessExitsAfterTheQuietTime")
{
  ShutdownPolicy plan({}, At(0));
  CHECK(plan.Step(true, At(1000)) == ShutdownStage::kAccepting);
  CHECK(plan.Step(false, At(1600)) == ShutdownStage::kAccepting);
  CHECK(plan.Step(true, At(1700)) == ShutdownStage::kAccepting);
  CHECK(plan.Step(true, At(1750)) == ShutdownStage::kComplete);
}

// Guards against a planned stop that truncates a long stream. A stream that is
// accepted 2.3 s after the request to stop and takes 5.7 s is incomplete at the
// end of the 8 s grace period. This happens if long and short requests alike
// are accepted for 2.5 s.
TEST_CASE("AStoppingProcessRefusesRequestsThatMayOutliveIt")
{
  const ShutdownPolicy plan({}, At(0));
  CHECK(plan.MayAccept(std::chrono::seconds(5), At(2260)));
  CHECK_FALSE(plan.MayAccept(std::chrono::seconds(6), At(2260)));
  CHECK(plan.MayAccept(std::chrono::seconds(6), At(1000)));
  CHECK_FALSE(plan.MayAccept(Duration(0), At(2600)));
}

} // namespace peridotspool::gateway
