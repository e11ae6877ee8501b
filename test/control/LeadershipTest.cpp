// ctest-labels: promise-fencing promise-config
#include "control/ControlCluster.h"

#include <catch2/catch.hpp>

namespace peridotspool::control {

using membership::ServeVerdict;

namespace {

void
StartSystem(ControlCluster& aCluster)
{
  aCluster.StartControls(3);
  aCluster.Edit("edit-1", 0, "a: 1\n");
  for (const char* name : { "entry-1", "entry-2", "entry-3" }) {
    aCluster.AddEntry(name, name);
  }
  REQUIRE(
    aCluster.RunUntil([&] { return aCluster.AllEntriesAt(Revision(1)); }));
  aCluster.Run(std::chrono::seconds(1));
}

std::uint64_t
NextFencing(ControlCluster& aCluster)
{
  return std::get<FencingResponse>(aCluster.RequestFromLeader(FencingRequest{}))
    .mNumber.Value();
}

} // namespace

// Guards against two control replicas that respond and issue orders at the same
// time. The leader and one entry are partitioned together for a minute; the
// others elect a leader and commit an edit while the old leader is unaware. The
// fault occurs if a leader stays in charge until another process notifies it.
TEST_CASE("PartitionedLeaderLosesItsLeaseBeforeAnotherLeads")
{
  const std::uint64_t seed = GENERATE(range(1, 21));
  INFO("seed " << seed);
  ControlCluster cluster(seed);
  StartSystem(cluster);
  const std::string old = cluster.Leader();
  cluster.CutOff({ old, "entry-1" });
  const CallId lost = cluster.Ask(
    old, EditRequest{ EditId("lost"), Revision(1), "a: lost\n", "operator" });
  REQUIRE(cluster.RunUntil(
    [&] { return !cluster.Leader().empty() && cluster.Leader() != old; }));
  REQUIRE(cluster.Edit("edit-2", 1, "a: 2\n").mVerdict ==
          EditVerdict::kCommitted);
  cluster.Run(std::chrono::seconds(60));
  // The edit sent to the old leader was not reported as committed.
  REQUIRE(cluster.ResponseTo(lost).has_value());
  CHECK_FALSE(std::holds_alternative<EditResponse>(*cluster.ResponseTo(lost)));
  const ClusterProcess& entry = cluster.Process("entry-1");
  CHECK(entry.mSession->MayServe(cluster.LocalNow(entry)) ==
        ServeVerdict::kConfirmationTooOld);
  CHECK_FALSE(entry.mSession->LeaseHolds(cluster.LocalNow(entry)));
  cluster.Heal();
  CHECK(cluster.RunUntil([&] { return entry.mWasRemoved; }));
  const EditResponse resent = cluster.Edit("lost", 1, "a: lost\n");
  CHECK(resent.mVerdict == EditVerdict::kConflict);
  CHECK(resent.mWinner == EditId("edit-2"));
  CHECK(cluster.Problems() == std::vector<std::string>{});
}

// Guards against a frozen control replica that responds with outdated state.
// The leader freezes with queued requests and messages, another replica takes
// over and commits, and the old leader resumes and processes its queue. The
// fault occurs if leadership is checked when it is gained and not when it is
// used.
TEST_CASE("FrozenLeaderReturnsNoOutdatedStateWhenItResumes")
{
  ControlCluster cluster;
  StartSystem(cluster);
  const std::string old = cluster.Leader();
  cluster.Freeze(old);
  const CallId read = cluster.Ask(old, SettingsRequest{});
  REQUIRE(cluster.RunUntil([&] { return !cluster.Leader().empty(); }));
  REQUIRE(cluster.Edit("edit-2", 1, "a: 2\n").mVerdict ==
          EditVerdict::kCommitted);
  cluster.Run(std::chrono::seconds(5));
  cluster.Thaw(old);
  cluster.Run(std::chrono::seconds(1));
  REQUIRE(cluster.ResponseTo(read).has_value());
  CHECK(std::holds_alternative<NotLeaderResponse>(*cluster.ResponseTo(read)));
  CHECK(cluster.Problems() == std::vector<std::string>{});
}

// Guards against a frozen entry that produces an effect after its shards were
// reassigned. The entry freezes right after a confirmed heartbeat, is removed,
// resumes, and first processes its pending work. The fault occurs if the lease
// is counted from when the heartbeat response was read.
TEST_CASE("FrozenEntryHasNoLeaseWhenItResumes")
{
  ControlCluster cluster;
  StartSystem(cluster);
  ClusterProcess& entry = cluster.Process("entry-1");
  // Uses slow links, so that responses are in flight at any time.
  cluster.mFaults.mMinDelay = std::chrono::milliseconds(140);
  cluster.mFaults.mMaxDelay = std::chrono::milliseconds(145);
  cluster.Run(std::chrono::seconds(2));
  REQUIRE(entry.mSession->LeaseHolds(cluster.LocalNow(entry)));
  cluster.Freeze("entry-1");
  cluster.Run(std::chrono::seconds(10));
  CHECK_FALSE(entry.mSession->LeaseHolds(cluster.LocalNow(entry)));
  CHECK(entry.mSession->MayServe(cluster.LocalNow(entry)) ==
        ServeVerdict::kConfirmationTooOld);
  // The responses to its last heartbeats were queued while it was frozen.
  entry.mFrozen = false;
  const auto waiting = std::exchange(entry.mBacklog, {});
  REQUIRE_FALSE(waiting.empty());
  for (const auto& action : waiting) {
    action();
    CHECK_FALSE(entry.mSession->LeaseHolds(cluster.LocalNow(entry)));
    CHECK(entry.mSession->MayServe(cluster.LocalNow(entry)) !=
          ServeVerdict::kMayServe);
  }
}

// Guards against a leader change every second and two concurrent lease holders.
// One follower can't reach the leader; the other one receives messages from
// both. The fault occurs if a vote is granted while a leader's lease relies on
// the voter.
TEST_CASE("FollowerCutOffFromTheLeaderDoesNotDeposeIt")
{
  ControlCluster cluster;
  StartSystem(cluster);
  const std::string leader = cluster.Leader();
  const std::string follower =
    leader == "control-1" ? "control-2" : "control-1";
  cluster.CutLink(leader, follower);
  cluster.Run(std::chrono::seconds(20));
  CHECK(cluster.Leader() == leader);
  CHECK(cluster.Problems() == std::vector<std::string>{});
}

// Guards against the same fault when the follower that receives messages from
// both restarts repeatedly. The fault occurs if a restarted replica no longer
// knows that it must withhold its vote.
TEST_CASE("RestartedFollowerStillWithholdsItsVote")
{
  ControlCluster cluster;
  StartSystem(cluster);
  for (int restart = 0; restart < 60; ++restart) {
    const std::string leader = cluster.Leader();
    REQUIRE_FALSE(leader.empty());
    const std::string cut = leader == "control-1" ? "control-2" : "control-1";
    const std::string both = leader == "control-3" ? "control-2" : "control-3";
    cluster.CutLink(leader, cut == both ? "control-1" : cut);
    cluster.Run(std::chrono::milliseconds(700 + 13 * restart));
    cluster.Restart(both);
    cluster.Run(std::chrono::seconds(2));
    cluster.Heal();
    cluster.RunUntil([&] { return !cluster.Leader().empty(); });
  }
  CHECK(cluster.Problems() == std::vector<std::string>{});
}

// Guards against an engine that accepts an older order after a newer one.
// Orders are issued before and after a leader change, and after a restart of
// all replicas. The fault occurs if fencing numbers are counted in a leader's
// memory.
TEST_CASE("FencingNumbersIncreaseAcrossLeadersAndRestarts")
{
  ControlCluster cluster;
  StartSystem(cluster);
  const std::uint64_t first = NextFencing(cluster);
  const std::uint64_t second = NextFencing(cluster);
  cluster.Crash(cluster.Leader());
  const std::uint64_t third = NextFencing(cluster);
  for (const char* name : { "control-1", "control-2", "control-3" }) {
    cluster.Restart(name);
  }
  const std::uint64_t fourth = NextFencing(cluster);
  CHECK(first < second);
  CHECK(second < third);
  CHECK(third < fourth);
}

// The lease must expire in real time before the fastest follower votes for
// another leader, with both clocks off by the rate bound.
TEST_CASE("LeaseAllowsForClockRateDifferences")
{
  ConsensusOptions options;
  const double lease = static_cast<double>(options.LeaseDuration().count()) /
                       (1.0 - options.mClockRateBound);
  const double silence = static_cast<double>(options.mElectionTimeout.count()) /
                         (1.0 + options.mClockRateBound);
  CHECK(lease <= silence);
}

// Guards against one faulty link that removes a healthy entry. The entry's
// messages to the leader are lost, all others arrive. The fault occurs if the
// leader relies only on the messages that it received itself.
TEST_CASE("EntryHeardByAMajorityIsNotRemoved")
{
  ControlCluster cluster;
  StartSystem(cluster);
  const std::string leader = cluster.Leader();
  cluster.CutLink("entry-1", leader);
  cluster.Run(std::chrono::seconds(30));
  REQUIRE(cluster.Leader() == leader);
  CHECK_FALSE(cluster.Process("entry-1").mWasRemoved);
  CHECK(cluster.Process("entry-2").mSession->Epoch().mMembers.size() == 3);
}

// Guards against shards that move with every flap of one entry. An entry is
// killed and restarted every 2 s for a minute. The fault occurs if each join
// and removal creates an epoch at once.
TEST_CASE("FlappingEntryCreatesFewEpochs")
{
  ControlCluster cluster;
  StartSystem(cluster);
  const auto& watcher = *cluster.Process("entry-2").mSession;
  const std::uint64_t before = watcher.Epoch().mEpoch.Value();
  for (int flap = 0; flap < 30; ++flap) {
    cluster.Crash("entry-1");
    cluster.Run(std::chrono::milliseconds(1900));
    cluster.Restart("entry-1");
    cluster.Run(std::chrono::milliseconds(100));
  }
  const std::uint64_t made = watcher.Epoch().mEpoch.Value() - before;
  INFO("epochs made: " << made);
  CHECK(made <= 12);
}

} // namespace peridotspool::control
