// ctest-labels: unit
#include "control/ControlCluster.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace peridotspool::control {

namespace {

std::ptrdiff_t
CountOf(const ControlCluster& aCluster,
        ControlNotice aNotice,
        const std::string& aText)
{
  return std::count_if(aCluster.Notices().begin(),
                       aCluster.Notices().end(),
                       [&](const NoticeEffect& aOne) {
                         return aOne.mNotice == aNotice &&
                                aOne.mText.find(aText) != std::string::npos;
                       });
}

} // namespace

// Guards against a group that had no leader for a minute and whose log events
// didn't show whether votes were requested, refused, or waited for a disk.
TEST_CASE("ElectionLogsEachVoteRequestedGrantedAndSaved")
{
  ControlCluster cluster(1);
  cluster.StartControls(3);
  const std::string before = cluster.Leader();
  cluster.Crash(before);
  REQUIRE(cluster.RunUntil(
    [&] { return !cluster.Leader().empty() && cluster.Leader() != before; }));
  CHECK(CountOf(cluster, ControlNotice::kVoteAsked, "pre=true") > 0);
  CHECK(CountOf(cluster, ControlNotice::kVoteAsked, "pre=false") > 0);
  CHECK(CountOf(cluster, ControlNotice::kVoteHeard, "pre=false") > 0);
  CHECK(CountOf(cluster,
                ControlNotice::kVoteAnswered,
                "pre=false granted=true restarted=false") > 0);
  CHECK(CountOf(cluster, ControlNotice::kVoteSaved, "write=") >= 2);
}

TEST_CASE("StableGroupLogsNoVoteEvents")
{
  ControlCluster cluster(2);
  cluster.StartControls(3);
  cluster.Run(std::chrono::seconds(1));
  const std::size_t before = cluster.Notices().size();
  cluster.Run(std::chrono::seconds(20));
  CHECK(cluster.Notices().size() == before);
}

} // namespace peridotspool::control
