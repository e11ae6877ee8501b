// ctest-labels: promise-state-survives
#include "control/ControlCluster.h"

#include "peridotspool/control/StateMachine.h"

#include <catch2/catch.hpp>

namespace peridotspool::control {

namespace {

QuotaFloorsRequest
Floors(std::uint64_t aNumber, std::uint64_t aUnits)
{
  return { { .mNumber = aNumber,
             .mUnits = { { CustomerName("c"), aUnits } } } };
}

} // namespace

// Guards against a new leader that grants again what an earlier leader has
// granted.
TEST_CASE("QuotaFloorsSurviveLeaderChangeAndFullRestart")
{
  ControlCluster cluster(1);
  cluster.StartControls(3);
  cluster.RequestFromLeader(Floors(1, 300));
  cluster.RequestFromLeader(Floors(2, 200));
  SECTION("a new leader")
  {
    REQUIRE(cluster.ReplaceLeader());
  }
  SECTION("all restarted")
  {
    REQUIRE(cluster.RestartControls());
  }
  const auto& node = cluster.Process(cluster.Leader()).mNode;
  REQUIRE(node.has_value());
  CHECK(node->State().mQuotaFloors == Floors(2, 200).mFloors);
}

TEST_CASE("OlderQuotaFloorsProposalChangesNothing")
{
  StateMachine machine({}, {});
  machine.Apply(QuotaFloorsCommand{ Floors(3, 100).mFloors });
  machine.Apply(QuotaFloorsCommand{ Floors(2, 500).mFloors });
  CHECK(machine.State().mQuotaFloors == Floors(3, 100).mFloors);
}

} // namespace peridotspool::control
