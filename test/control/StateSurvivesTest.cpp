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
  const OperatorResponse answer = aCluster.AskLeader(SettingsRequest{});
  const auto* settings = std::get_if<SettingsResponse>(&answer);
  return settings == nullptr ? "no answer" : settings->mText;
}

/** Returns any replica that doesn't lead, other than aBut. */
std::string
Follower(ControlCluster& aCluster, const std::string& aBut = {})
{
  for (const char* name : kAll) {
    if (aCluster.Leader() != name && aBut != name) {
      return name;
    }
  }
  return {};
}

} // namespace

// Symptom: a committed edit is gone after a lost disk.
// Sequence: one replica loses its disk and is repaired; right after that a
// second one is lost for good; what remains must still hold all edits.
// Cause: a repaired replica that counts in majorities before it has the log.
TEST_CASE("SecondReplicaLostRightAfterARepairLosesNothing")
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

// Symptom: a committed edit is gone although only one disk was lost.
// Sequence: an edit is committed by replicas 1 and 2 while 3 is cut off; 2
// loses its disk and comes back; 1 is cut off; 3 and 2 could make a majority.
// Cause: an empty folder that votes under its old identity.
TEST_CASE("EmptyFolderHelpsNobodyIntoTheLead")
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

// Symptom: an acknowledged edit is gone after a power failure.
// Sequence: all replicas lose power at the same moment, again and again, right
// after an edit was answered.
// Cause: an acknowledgement sent before the disk had synced.
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

// Symptom: a process started with a live replica's name pushes that one out.
// Cause: the same name in two settings files.
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
