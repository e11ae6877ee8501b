// ctest-labels: promise-state-survives
#include "control/ControlCluster.h"

#include <catch2/catch.hpp>

namespace peridotspool::control {

namespace {

using routing::QuarantineStage;

const ContentId kContent{ .mHigh = 3, .mLow = 4 };

QuarantineChangeRequest
Treat(QuarantineStage aStage)
{
  return { { { .mContent = kContent,
               .mStage = aStage,
               .mCounted = 3,
               .mCrashes = { { .mUpstream = UpstreamName("u") } } } } };
}

std::vector<routing::QuarantineRow>
Listed(ControlCluster& aCluster)
{
  const OperatorResponse answer =
    aCluster.RequestFromLeader(QuarantineRequest{});
  const auto* listed = std::get_if<QuarantineResponse>(&answer);
  return listed == nullptr ? std::vector<routing::QuarantineRow>{}
                           : listed->mRows;
}

} // namespace

// Guards against a request that crashes upstreams and runs again after a
// restart. The leader that quarantined it ends, or all replicas end at once.
// The fault occurs if a verdict is stored in one process's memory.
TEST_CASE("QuarantineVerdictSurvivesLeaderChangeAndFullRestart")
{
  ControlCluster cluster(1);
  cluster.StartControls(3);
  REQUIRE(std::holds_alternative<QuarantineResponse>(
    cluster.RequestFromLeader(Treat(QuarantineStage::kRefused))));
  SECTION("a new leader")
  {
    REQUIRE(cluster.ReplaceLeader());
  }
  SECTION("all restarted")
  {
    REQUIRE(cluster.RestartControls());
  }
  const auto listed = Listed(cluster);
  REQUIRE(listed.size() == 1);
  CHECK(listed[0].mChange.mContent == kContent);
  CHECK(listed[0].mChange.mStage == QuarantineStage::kRefused);
  CHECK(listed[0].mChange.mCrashes.size() == 1);
}

TEST_CASE("OperatorListsAndLiftsAQuarantineVerdict")
{
  ControlCluster cluster(2);
  cluster.StartControls(3);
  cluster.RequestFromLeader(Treat(QuarantineStage::kRefused));
  REQUIRE(Listed(cluster).size() == 1);
  cluster.RequestFromLeader(Treat(QuarantineStage::kCleared));
  CHECK(Listed(cluster).empty());
}

} // namespace peridotspool::control
