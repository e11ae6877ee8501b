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

// Symptom: a planned stop cut an answer 33 ms after its upstream had made it.
// Sequence: the process ended 0.4 s before its grace was over.
// Cause: more of the grace was kept back than ending takes.
TEST_CASE("ABusyProcessGoesOnUntilItsGraceIsOver")
{
  ShutdownPolicy plan({}, At(0));
  CHECK(plan.Step(false, At(2500)) == ShutdownStage::kAccepting);
  CHECK(plan.Step(false, At(2550)) == ShutdownStage::kRefusing);
  CHECK(plan.Step(false, At(7900)) == ShutdownStage::kRefusing);
  CHECK(plan.Step(false, At(7960)) == ShutdownStage::kComplete);
}

TEST_CASE("AQuietProcessEndsOnceItsLastBytesAreOnTheirWay")
{
  ShutdownPolicy plan({}, At(0));
  CHECK(plan.Step(true, At(1000)) == ShutdownStage::kAccepting);
  CHECK(plan.Step(false, At(1600)) == ShutdownStage::kAccepting);
  CHECK(plan.Step(true, At(1700)) == ShutdownStage::kAccepting);
  CHECK(plan.Step(true, At(1750)) == ShutdownStage::kComplete);
}

// Symptom: a planned stop cuts a long stream.
// Sequence: the stream is taken 2.3 s after the order to stop, is made for 5.7
// s and is not whole when the grace of 8 s is over. Cause: long and short
// requests taken alike for 2.5 s.
TEST_CASE("AStoppingProcessTakesNothingThatMayOutliveIt")
{
  const ShutdownPolicy plan({}, At(0));
  CHECK(plan.MayAccept(std::chrono::seconds(5), At(2260)));
  CHECK_FALSE(plan.MayAccept(std::chrono::seconds(6), At(2260)));
  CHECK(plan.MayAccept(std::chrono::seconds(6), At(1000)));
  CHECK_FALSE(plan.MayAccept(Duration(0), At(2600)));
}

} // namespace peridotspool::gateway
