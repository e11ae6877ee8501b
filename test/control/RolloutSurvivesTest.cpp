// ctest-labels: promise-state-survives promise-rollout
#include "control/ControlCluster.h"

#include <catch2/catch.hpp>

namespace peridotspool::control {

namespace {

const ServiceName kService("s");

RolloutStartRequest
Start(const char* aTo)
{
  return { { .mService = kService,
             .mTo = VersionName(aTo),
             .mDuration = std::chrono::seconds(12),
             .mOrderedMicros = 1000000 } };
}

std::vector<rollout::Rollout>
Known(ControlCluster& aCluster)
{
  const OperatorResponse answer =
    aCluster.RequestFromLeader(RolloutsRequest{ kService });
  const auto* known = std::get_if<RolloutsResponse>(&answer);
  return known == nullptr ? std::vector<rollout::Rollout>{} : known->mRollouts;
}

rollout::OrderVerdict
VerdictOf(const OperatorResponse& aAnswer)
{
  const auto* order = std::get_if<RolloutOrderResponse>(&aAnswer);
  REQUIRE(order != nullptr);
  return order->mVerdict;
}

} // namespace

// Guards against an acknowledged order that is lost when its leader ends, or
// when all processes end.
TEST_CASE("RolloutOrderSurvivesLeaderChangeAndFullRestart")
{
  ControlCluster cluster(1);
  cluster.StartControls(3);
  CHECK(VerdictOf(cluster.RequestFromLeader(Start("v2"))) ==
        rollout::OrderVerdict::kStarted);
  SECTION("a new leader")
  {
    REQUIRE(cluster.ReplaceLeader());
  }
  SECTION("all restarted")
  {
    REQUIRE(cluster.RestartControls());
  }
  const auto known = Known(cluster);
  REQUIRE(known.size() == 1);
  CHECK(known[0].mOrder == Start("v2").mOrder);
  CHECK(known[0].IsRunning());
  CHECK(VerdictOf(cluster.RequestFromLeader(Start("v2"))) ==
        rollout::OrderVerdict::kRepeated);
  CHECK(VerdictOf(cluster.RequestFromLeader(Start("v3"))) ==
        rollout::OrderVerdict::kBusy);
}

TEST_CASE("OperatorAbortsARollout")
{
  ControlCluster cluster(2);
  cluster.StartControls(3);
  CHECK(std::holds_alternative<RefusedResponse>(
    cluster.RequestFromLeader(RolloutAbortRequest{ kService })));
  cluster.RequestFromLeader(Start("v2"));
  cluster.RequestFromLeader(RolloutAbortRequest{ kService, 2000000 });
  const auto known = Known(cluster);
  REQUIRE(known.size() == 1);
  CHECK(known[0].mState == rollout::RolloutState::kRolledBack);
  CHECK(known[0].mReason == "an operator aborted it");
}

} // namespace peridotspool::control
