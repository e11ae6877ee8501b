// ctest-labels: promise-state-survives
#include "control/ControlCluster.h"

#include <catch2/catch.hpp>

namespace peridotspool::control {

namespace {

constexpr const char* kAll[] = { "control-1", "control-2", "control-3" };

bool
IsVoter(ControlCluster& aCluster, const std::string& aName)
{
  const std::string leader = aCluster.Leader();
  const ReplicaId self = aCluster.Process(aName).mNode->Self();
  return !leader.empty() && self.IsSet() &&
         aCluster.Process(leader).mNode->Replicas().IsVoter(self);
}

std::string
NewestText(ControlCluster& aCluster)
{
  const OperatorResponse answer = aCluster.RequestFromLeader(SettingsRequest{});
  const auto* settings = std::get_if<SettingsResponse>(&answer);
  return settings == nullptr ? "no answer" : settings->mText;
}

/** Returns any replica that doesn't lead, other than aExcept. */
std::string
Follower(ControlCluster& aCluster, const std::string& aExcept = {})
{
  for (const char* name : kAll) {
    if (aCluster.Leader() != name && aExcept != name) {
      return name;
    }
  }
  return {};
}

} // namespace

// Guards against a committed edit that is lost with a disk. One replica loses
// its disk and is repaired; right after that a second one is lost permanently.
// The remaining replicas must still hold all edits. The fault occurs if a
// repaired replica counts in majorities before it has the log.
TEST_CASE("SecondReplicaLossRightAfterARepairLosesNoEdit")
{
  const std::uint64_t seed = GENERATE(range(1, 21));
  INFO("seed " << seed);
  ControlCluster cluster(seed);
  cluster.StartControls(3);
  cluster.Edit("edit-1", 0, "a: 1\n");
  const std::string repaired = Follower(cluster);
  const ReplicaId before = cluster.Process(repaired).mNode->Self();
  cluster.LoseDisk(repaired);
  REQUIRE(cluster.Edit("edit-2", 1, "a: 2\n").mVerdict ==
          EditVerdict::kCommitted);
  cluster.Restart(repaired);
  REQUIRE(cluster.RunUntil([&] { return IsVoter(cluster, repaired); }));
  CHECK(cluster.Process(repaired).mNode->Self() != before);
  cluster.LoseDisk(Follower(cluster, repaired));
  CHECK(NewestText(cluster) == "a: 2\n");
  cluster.Crash(cluster.Leader());
  // One replica of three is left; it must not elect itself.
  CHECK_FALSE(cluster.RunUntil([&] { return !cluster.Leader().empty(); },
                               std::chrono::seconds(10)));
  CHECK(cluster.Process(repaired).mNode->State().mSettings.mText == "a: 2\n");
  CHECK(cluster.Problems() == std::vector<std::string>{});
}

// Guards against a committed edit that is lost although only one disk was lost.
// An edit is committed by replicas 1 and 2 while 3 is partitioned; 2 loses its
// disk and restarts; 1 is partitioned; 3 and 2 could form a majority. The fault
// occurs if a replica with an empty folder votes under its old identity.
TEST_CASE("ReplicaWithEmptyFolderGrantsNoVote")
{
  const std::uint64_t seed = GENERATE(range(1, 21));
  INFO("seed " << seed);
  ControlCluster cluster(seed);
  cluster.StartControls(3);
  cluster.Edit("edit-1", 0, "a: 1\n");
  const std::string behind = Follower(cluster);
  const std::string wiped = Follower(cluster, behind);
  const std::string leader = cluster.Leader();
  cluster.CutOff({ behind });
  REQUIRE(cluster.Edit("edit-2", 1, "a: 2\n").mVerdict ==
          EditVerdict::kCommitted);
  cluster.LoseDisk(wiped);
  cluster.Crash(leader);
  cluster.Heal();
  cluster.Restart(wiped);
  CHECK_FALSE(cluster.RunUntil([&] { return !cluster.Leader().empty(); },
                               std::chrono::seconds(10)));
  cluster.Restart(leader);
  REQUIRE(cluster.RunUntil([&] { return !cluster.Leader().empty(); }));
  CHECK(NewestText(cluster) == "a: 2\n");
  CHECK(cluster.RunUntil([&] { return cluster.Voters() == 3; }));
  CHECK(cluster.RunUntil([&] { return IsVoter(cluster, wiped); }));
  CHECK(cluster.Problems() == std::vector<std::string>{});
}

// Guards against an acknowledged edit that is lost in a power failure. All
// replicas repeatedly lose power at the same moment, right after an edit was
// acknowledged. The fault occurs if an acknowledgement is sent before the disk
// has synced.
TEST_CASE("AcknowledgedEditsSurviveAPowerFailureOfAllReplicas")
{
  ControlCluster cluster;
  cluster.mFaults.mMaxSync = std::chrono::milliseconds(30);
  cluster.StartControls(3);
  for (std::uint64_t revision = 0; revision < 30; ++revision) {
    const std::string text = "a: " + std::to_string(revision) + "\n";
    const EditResponse answer =
      cluster.Edit("edit-" + std::to_string(revision), revision, text);
    REQUIRE(answer.mVerdict == EditVerdict::kCommitted);
    for (const char* name : kAll) {
      cluster.Crash(name);
    }
    for (const char* name : kAll) {
      cluster.Restart(name);
    }
    INFO("after revision " << revision + 1);
    REQUIRE(NewestText(cluster) == text);
  }
  CHECK(cluster.Problems() == std::vector<std::string>{});
}

// Guards against a process that displaces a live replica of the same name. This
// happens when two settings files contain the same name.
TEST_CASE("JoinUnderTheNameOfALiveReplicaIsRefused")
{
  ControlCluster cluster;
  cluster.StartControls(3);
  cluster.Run(std::chrono::seconds(5));
  const std::string leader = cluster.Leader();
  const std::string live = Follower(cluster);
  const ReplicaId before = cluster.Process(live).mNode->Self();
  ControlNode& node = *cluster.Process(leader).mNode;
  const TimePoint now = cluster.LocalNow(cluster.Process(leader));
  const JoinRequest join{ .mName = ReplicaName(live),
                          .mDomain = {},
                          .mAddress = { "impostor", 1 },
                          .mNonce = JoinNonce(5) };
  node.Step(FromReplicaEvent{ { .mSystem = {},
                                .mFrom = {},
                                .mTo = {},
                                .mReplyTo = { "impostor", 1 },
                                .mMessage = join } },
            now);
  cluster.Run(std::chrono::seconds(5));
  CHECK(node.Replicas().mReplicas.size() == 3);
  CHECK(node.Replicas().IsVoter(before));
}

} // namespace peridotspool::control
