// ctest-labels: promise-config
#include "control/ControlCluster.h"

#include <catch2/catch.hpp>

namespace peridotspool::control {

using membership::ServeVerdict;

namespace {

std::string
Tree(int aValue)
{
  std::string text;
  for (int line = 0; line < 40; ++line) {
    text += "key-" + std::to_string(line) + ": 0\n";
  }
  return text + "changed: " + std::to_string(aValue) + "\n";
}

/** Three control replicas, two entries and one committed edit. */
void
StartSystem(ControlCluster& aCluster)
{
  aCluster.StartControls(3);
  REQUIRE(aCluster.Edit("edit-1", 0, Tree(1)).mVerdict ==
          EditVerdict::kCommitted);
  aCluster.AddEntry("entry-1", "north");
  aCluster.AddEntry("entry-2", "south");
  REQUIRE(
    aCluster.RunUntil([&] { return aCluster.AllEntriesAt(Revision(1)); }));
  aCluster.Run(std::chrono::seconds(1));
}

ServeVerdict
MayServe(ControlCluster& aCluster, const std::string& aEntry)
{
  const ClusterProcess& process = aCluster.Process(aEntry);
  return process.mSession->MayServe(aCluster.LocalNow(process));
}

} // namespace

// Guards against two operators whose conflicting edits are both reported as
// committed. Both read revision 1, and both send an edit with base 1. The fault
// occurs if an edit overwrites another without a check of its base.
TEST_CASE("OneOfTwoEditsWithEqualBaseWinsAndTheOtherGetsItsId")
{
  ControlCluster cluster;
  StartSystem(cluster);
  const std::string leader = cluster.Leader();
  const auto edit = [](const std::string& aName, int aValue) {
    return EditRequest{ .mEdit = EditId(aName),
                        .mBase = Revision(1),
                        .mText = Tree(aValue),
                        .mAuthor = aName };
  };
  const CallId left = cluster.Ask(leader, edit("left", 2));
  const CallId right = cluster.Ask(leader, edit("right", 3));
  cluster.Run(std::chrono::seconds(1));
  const auto first = std::get<EditResponse>(*cluster.ResponseTo(left));
  const auto second = std::get<EditResponse>(*cluster.ResponseTo(right));
  CHECK(first.mVerdict == EditVerdict::kCommitted);
  CHECK(first.mRevision == Revision(2));
  CHECK(second.mVerdict == EditVerdict::kConflict);
  CHECK(second.mRevision == Revision(2));
  CHECK(second.mWinner == EditId("left"));
}

// Guards against an operator who resends an edit and gets a conflict reported.
// The edit commits, the reply is lost, the leader ends, and the operator sends
// the same edit to the next leader. The fault occurs if the edit is evaluated
// again: its base is outdated by then, so it conflicts with itself.
TEST_CASE("ResentEditGetsItsFirstResponseAfterALeaderChange")
{
  ControlCluster cluster;
  StartSystem(cluster);
  const EditResponse first = cluster.Edit("edit-2", 1, Tree(2));
  cluster.Edit("edit-3", 2, Tree(3));
  cluster.Crash(cluster.Leader());
  const EditResponse again = cluster.Edit("edit-2", 1, Tree(2));
  CHECK(again == first);
  CHECK(cluster.Edit("edit-2", 1, Tree(9)).mVerdict ==
        EditVerdict::kEditIdReused);
  CHECK(cluster.Problems().empty());
}

// Guards against the same fault on replicas that started from a snapshot. The
// edit commits, snapshots drop its log entry, all replicas restart, and the
// operator resends. The fault occurs if first responses are stored beside the
// snapshot instead of in it.
TEST_CASE("ResentEditGetsItsFirstResponseAfterASnapshotAndRestart")
{
  ControlCluster cluster;
  cluster.mTune = [](ControlOptions& aOptions) {
    aOptions.mSnapshotEvery = 10;
    aOptions.mConsensus.mEntriesRetainedBehindSnapshot = 2;
  };
  StartSystem(cluster);
  const EditResponse first = cluster.Edit("edit-2", 1, Tree(2));
  for (int value = 3; value <= 40; ++value) {
    cluster.Edit("edit-" + std::to_string(value),
                 static_cast<std::uint64_t>(value) - 1,
                 Tree(value));
  }
  for (const char* name : { "control-1", "control-2", "control-3" }) {
    cluster.Restart(name);
    REQUIRE(cluster.Process(name).mDisk.mSnapshot->mIndex > LogIndex(10));
  }
  CHECK(cluster.Edit("edit-2", 1, Tree(2)) == first);
  CHECK(cluster.Problems().empty());
}

// Guards against an entry that applies old settings after a restart. An entry
// and a control replica are down for 500 edits, restart, and connect to a
// leader that has dropped the old log entries. The fault occurs if a receiver
// that accepts only the next delta never catches up.
TEST_CASE("ProcessesThatMissed500EditsCatchUpBeforeTheyServe")
{
  const bool deltas = GENERATE(true, false);
  INFO("deltas kept: " << deltas);
  ControlCluster cluster;
  cluster.mTune = [&](ControlOptions& aOptions) {
    aOptions.mSnapshotEvery = 100;
    aOptions.mConsensus.mEntriesRetainedBehindSnapshot = 20;
    aOptions.mStateMachine.mMaxHistory = deltas ? 1000 : 50;
  };
  StartSystem(cluster);
  const std::string late =
    cluster.Leader() == "control-3" ? "control-2" : "control-3";
  cluster.Crash(late);
  cluster.CutOff({ "entry-1" });
  cluster.Crash("entry-2");
  for (int value = 2; value <= 501; ++value) {
    REQUIRE(cluster
              .Edit("edit-" + std::to_string(value),
                    static_cast<std::uint64_t>(value) - 1,
                    Tree(value))
              .mVerdict == EditVerdict::kCommitted);
  }
  cluster.Heal();
  cluster.Restart(late);
  cluster.Restart("entry-1");
  cluster.Restart("entry-2");
  CHECK(MayServe(cluster, "entry-2") != ServeVerdict::kMayServe);
  REQUIRE(cluster.RunUntil(
    [&] { return MayServe(cluster, "entry-2") == ServeVerdict::kMayServe; }));
  CHECK(cluster.Process("entry-2").mSession->InForceRevision() ==
        Revision(501));
  REQUIRE(cluster.RunUntil([&] {
    return cluster.Process(late).mNode->State().mSettings.mRevision ==
           Revision(501);
  }));
  CHECK(cluster.Problems().empty());
}

// Guards against an edit that is reported in force while an entry still applies
// the old settings. An entry is partitioned, an edit commits, and the entry is
// removed from the members; unaware of this, the entry accepts callers for a
// while. The fault occurs if only the current members are checked.
TEST_CASE("InForceListsEntriesThatMayStillApplyOldSettings")
{
  ControlCluster cluster;
  StartSystem(cluster);
  cluster.CutOff({ "entry-1" });
  REQUIRE(cluster.Edit("edit-2", 1, Tree(2)).mVerdict ==
          EditVerdict::kCommitted);
  const auto ask = [&](Duration aWait) {
    return std::get<InForceResponse>(cluster.RequestFromLeader(
      InForceRequest{ .mRevision = Revision(2), .mWait = aWait }));
  };
  const InForceResponse early = ask(std::chrono::milliseconds(500));
  CHECK_FALSE(early.mInForce);
  CHECK(early.mMissing == std::vector{ EntryName("entry-1") });
  // The entry is no longer a member, but may serve under its last confirmation.
  cluster.RunUntil([&] {
    return cluster.Process("entry-2").mSession->Epoch().mMembers.size() == 1;
  });
  CHECK(MayServe(cluster, "entry-1") == ServeVerdict::kMayServe);
  CHECK_FALSE(ask(Duration(0)).mInForce);
  const InForceResponse late = ask(std::chrono::seconds(7));
  CHECK(late.mInForce);
  CHECK(MayServe(cluster, "entry-1") == ServeVerdict::kConfirmationTooOld);
}

TEST_CASE("InvalidEditChangesNothingAndReportsTheLocation")
{
  ControlCluster cluster;
  cluster.mTune = [](ControlOptions& aOptions) {
    aOptions.mChecker = [](const std::string& aText) {
      return aText.find("bad") == std::string::npos
               ? std::nullopt
               : std::optional<std::string>("tree:1:1: unknown key bad");
    };
  };
  StartSystem(cluster);
  const EditResponse answer = cluster.Edit("edit-2", 1, "bad: 1\n");
  CHECK(answer.mVerdict == EditVerdict::kInvalid);
  CHECK(answer.mReason == "tree:1:1: unknown key bad");
  const auto settings =
    std::get<SettingsResponse>(cluster.RequestFromLeader(SettingsRequest{}));
  CHECK(settings.mRevision == Revision(1));
  CHECK(settings.mText == Tree(1));
}

TEST_CASE("OlderRevisionsCanBeReadAndCompared")
{
  ControlCluster cluster;
  StartSystem(cluster);
  cluster.Edit("edit-2", 1, Tree(2));
  cluster.Edit("edit-3", 2, "short: 1\n");
  const auto diff = std::get<DiffResponse>(cluster.RequestFromLeader(
    DiffRequest{ .mFrom = Revision(1), .mTo = Revision(2) }));
  CHECK(diff.mFromText == Tree(1));
  CHECK(diff.mToText == Tree(2));
  const auto history = std::get<HistoryResponse>(
    cluster.RequestFromLeader(HistoryRequest{ .mLimit = 2 }));
  REQUIRE(history.mChanges.size() == 2);
  CHECK(history.mChanges[0].mEdit == EditId("edit-3"));
  CHECK(history.mChanges[1].mDelta.value().mRemoved == "changed: 1\n");
  CHECK(history.mChanges[1].mDelta.value().mInserted == "changed: 2\n");
}

} // namespace peridotspool::control
