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
  const OperatorResponse answer = aCluster.AskLeader(QuarantineRequest{});
  const auto* listed = std::get_if<QuarantineResponse>(&answer);
  return listed == nullptr ? std::vector<routing::QuarantineRow>{}
                           : listed->mRows;
}

} // namespace

// Symptom: a request that ends upstreams runs again after a restart.
// Sequence: the leader that had found it out is gone, or all replicas at once.
// Cause: a verdict kept in one process's memory.
TEST_CASE("AVerdictOutlivesTheLeaderAndAllProcesses")
{
  ControlCluster cluster(1);
  cluster.StartControls(3);
  REQUIRE(std::holds_alternative<QuarantineResponse>(
    cluster.AskLeader(Treat(QuarantineStage::kRefused))));
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

TEST_CASE("AnOperatorSeesAndLiftsAVerdict")
{
  ControlCluster cluster(2);
  cluster.StartControls(3);
  cluster.AskLeader(Treat(QuarantineStage::kRefused));
  REQUIRE(Listed(cluster).size() == 1);
  cluster.AskLeader(Treat(QuarantineStage::kCleared));
  CHECK(Listed(cluster).empty());
}

} // namespace peridotspool::control
