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

/** From now on messages are late, lost or doubled. */
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

/** Kills all replicas at once; returns their names. */
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

// Symptom: after a loss of power of everything, nobody is served for a second
// although all processes are back.
// Sequence: all replicas are killed at once and come back one by one.
// Cause: each keeps its silence for a leader that is dead like itself.
TEST_CASE("ReplicasThatWereAllRestartedElectALeaderAtOnce")
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

// Symptom: the same, for half a second longer than the power was away.
// Sequence: all replicas are killed at once, and one comes back without its
// disk.
// Cause: the others waited for the word of one whose identity was lost.
TEST_CASE("AVoterThatLostItsDiskKeepsTheOthersWaitingForNobody")
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

// Symptom: two replicas hold the lease at once.
// Sequence: as below, but one replica loses its disk again and again, and asks
// for an identity while the others restart.
// Cause: a request for an identity, taken for the end of one given since.
TEST_CASE("DisksLostAmongRestartsLeaveOneLeaseAtATime")
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

// Symptom: two replicas hold the lease at once.
// Sequence: the followers restart while the leader lives and is cut off, so
// that it can't say so.
// Cause: a majority's word that it has restarted, taken for everybody's.
TEST_CASE("RestartedMajorityWaitsForALeaderThatMayLive")
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

// Symptom: as above.
// Sequence: replicas restart in quick succession, alone and together, with
// messages that are late, lost or doubled.
// Cause: a word about one life of a process, taken for another one's.
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
