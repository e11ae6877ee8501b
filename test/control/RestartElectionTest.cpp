// ctest-labels: promise-fencing promise-state-survives
#include "control/ControlCluster.h"

#include <catch2/catch.hpp>

#include <random>

namespace peridotspool::control {

namespace {

constexpr Duration kAtOnce = std::chrono::milliseconds(250);

void
StartThree(ControlCluster& aCluster)
{
  aCluster.StartControls(3);
  aCluster.Edit("edit-1", 0, "a: 1\n");
  REQUIRE(aCluster.RunUntil([&] { return aCluster.Voters() == 3; }));
  aCluster.Run(std::chrono::seconds(1));
}

/** Makes the network delay, lose and duplicate messages from now on. */
void
MakeLossy(ControlCluster& aCluster)
{
  aCluster.mFaults.mLoss = 0.05;
  aCluster.mFaults.mDuplication = 0.1;
  aCluster.mFaults.mMaxDelay = std::chrono::milliseconds(120);
}

std::vector<std::string>
Controls(ControlCluster& aCluster)
{
  std::vector<std::string> names;
  for (const auto& [name, process] : aCluster.Processes()) {
    if (process.mNode) {
      names.push_back(name);
    }
  }
  return names;
}

/** Kills all replicas at once and returns their names. */
std::vector<std::string>
CrashAll(ControlCluster& aCluster)
{
  std::vector<std::string> names = Controls(aCluster);
  for (const std::string& name : names) {
    aCluster.Crash(name);
  }
  return names;
}

} // namespace

// Guards against a second without service after a power failure of the whole
// system although all processes run again. All replicas are killed at once and
// restart one by one. The fault occurs if each withholds its vote for the lease
// of a leader that has ended too.
TEST_CASE("FullyRestartedReplicasElectALeaderAtOnce")
{
  const std::uint64_t seed = GENERATE(range(1, 21));
  INFO("seed " << seed);
  ControlCluster cluster(seed);
  StartThree(cluster);
  const std::vector<std::string> names = CrashAll(cluster);
  for (const std::string& name : names) {
    cluster.Run(std::chrono::milliseconds(60));
    cluster.Restart(name);
  }
  CHECK(cluster.RunUntil([&] { return !cluster.Leader().empty(); }, kAtOnce));
  CHECK(cluster.Problems() == std::vector<std::string>{});
}

// Guards against the same outage, lasting half a second longer than the power
// failure. All replicas are killed at once, and one restarts without its disk.
// The fault occurs if the others wait for a report from the replica whose
// identity was lost.
TEST_CASE("VoterThatLostItsDiskDoesNotDelayTheElection")
{
  const std::uint64_t seed = GENERATE(range(1, 21));
  INFO("seed " << seed);
  ControlCluster cluster(seed);
  StartThree(cluster);
  const std::vector<std::string> names = CrashAll(cluster);
  cluster.LoseDisk(names[seed % names.size()]);
  for (const std::string& name : names) {
    cluster.Restart(name);
  }
  CHECK(cluster.RunUntil([&] { return !cluster.Leader().empty(); },
                         kAtOnce + std::chrono::milliseconds(100)));
  CHECK(cluster.Problems() == std::vector<std::string>{});
}

// Guards against two replicas that hold the lease at once. As in the tests
// below, replicas restart, but one replica also loses its disk repeatedly and
// requests an identity while the others restart. The fault occurs if a request
// for an identity is taken as the end of an identity assigned since.
TEST_CASE("DiskLossDuringRestartsLeavesOneLeaseAtATime")
{
  const std::uint64_t seed = GENERATE(range(1, 41));
  INFO("seed " << seed);
  ControlCluster cluster(seed);
  StartThree(cluster);
  MakeLossy(cluster);
  std::mt19937_64 random(seed);
  const std::vector<std::string> names = Controls(cluster);
  for (int round = 0; round < 30; ++round) {
    const std::string& lost = names[random() % names.size()];
    cluster.Crash(lost);
    cluster.LoseDisk(lost);
    for (const std::string& name : names) {
      if (name == lost || random() % 2 != 0) {
        cluster.Restart(name);
      }
    }
    cluster.Run(std::chrono::milliseconds(1500 + random() % 700));
  }
  CHECK(cluster.Problems() == std::vector<std::string>{});
}

// Guards against two replicas that hold the lease at once. The followers
// restart while the leader is alive but partitioned, so that it can't report
// this. The fault occurs if the restart of a majority is taken as the restart
// of all replicas.
TEST_CASE("RestartedMajorityWaitsForALeaderThatMayBeAlive")
{
  const std::uint64_t seed = GENERATE(range(1, 21));
  INFO("seed " << seed);
  ControlCluster cluster(seed);
  StartThree(cluster);
  const std::string leader = cluster.Leader();
  cluster.CutOff({ leader });
  for (const std::string& name : Controls(cluster)) {
    if (name != leader) {
      cluster.Restart(name);
    }
  }
  const TimePoint restarted = cluster.RealNow();
  REQUIRE(cluster.RunUntil([&] {
    const std::string now = cluster.Leader();
    return !now.empty() && now != leader;
  }));
  CHECK(cluster.RealNow() - restarted >=
        ConsensusOptions{}.mElectionTimeout * 9 / 10);
  CHECK(cluster.Problems() == std::vector<std::string>{});
}

// Guards against two replicas that hold the lease at once. Replicas restart in
// quick succession, alone and together, with delayed, lost or duplicated
// messages. The fault occurs if a message about one incarnation of a process is
// attributed to another.
TEST_CASE("RestartsInQuickSuccessionLeaveOneLeaseAtATime")
{
  const std::uint64_t seed = GENERATE(range(1, 41));
  INFO("seed " << seed);
  ControlCluster cluster(seed);
  StartThree(cluster);
  MakeLossy(cluster);
  std::mt19937_64 random(seed);
  const std::vector<std::string> names = Controls(cluster);
  for (int round = 0; round < 60; ++round) {
    for (const std::string& name : names) {
      if (random() % 3 != 0) {
        cluster.Restart(name);
      }
    }
    cluster.Run(std::chrono::milliseconds(random() % 700));
  }
  CHECK(cluster.Problems() == std::vector<std::string>{});
}

} // namespace peridotspool::control
