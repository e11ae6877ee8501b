// ctest-labels: promise-config
#include "control/ControlCluster.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace peridotspool::control {

namespace {

/** Times in the simulated network, which are identical in every run. */
std::vector<Duration>
Failovers(int aCount)
{
  std::vector<Duration> times;
  for (int seed = 1; seed <= aCount; ++seed) {
    ControlCluster cluster(static_cast<std::uint64_t>(seed));
    cluster.StartControls(3);
    cluster.Edit("edit-1", 0, "a: 1\n");
    cluster.Run(std::chrono::milliseconds(1000 + 37 * seed));
    const TimePoint before = cluster.RealNow();
    cluster.Crash(cluster.Leader());
    const EditResponse answer = cluster.Edit("edit-2", 1, "a: 2\n");
    REQUIRE(answer.mVerdict == EditVerdict::kCommitted);
    times.push_back(cluster.RealNow() - before);
  }
  std::sort(times.begin(), times.end());
  return times;
}

} // namespace

TEST_CASE("NextCommitSucceedsWithinTwoSecondsOfALeaderCrash")
{
  const std::vector<Duration> times = Failovers(100);
  INFO("median " << times[50].count() << " us, worst " << times[99].count());
  CHECK(times[99] < std::chrono::seconds(2));
}

TEST_CASE("EditIsInForceOnAHundredEntriesWithinASecond")
{
  ControlCluster cluster;
  cluster.StartControls(3);
  cluster.Edit("edit-1", 0, "a: 1\n");
  for (int number = 1; number <= 100; ++number) {
    cluster.AddEntry("entry-" + std::to_string(number), "domain");
  }
  REQUIRE(cluster.RunUntil([&] { return cluster.AllEntriesAt(Revision(1)); }));
  cluster.Run(std::chrono::seconds(2));
  const TimePoint before = cluster.RealNow();
  cluster.Edit("edit-2", 1, "a: 2\n");
  const auto answer =
    std::get<InForceResponse>(cluster.RequestFromLeader(InForceRequest{
      .mRevision = Revision(2), .mWait = std::chrono::seconds(7) }));
  const Duration took = cluster.RealNow() - before;
  INFO("took " << took.count() << " us");
  CHECK(answer.mInForce);
  CHECK(took < std::chrono::seconds(1));
  CHECK(cluster.Problems() == std::vector<std::string>{});
}

} // namespace peridotspool::control
