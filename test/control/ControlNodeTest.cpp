// ctest-labels: unit
#include "control/ControlCluster.h"

#include <catch2/catch.hpp>

namespace peridotspool::control {

using membership::ServeVerdict;

TEST_CASE("ThreeReplicasElectOneLeaderAndCommit")
{
  ControlCluster cluster;
  cluster.StartControls(3);
  REQUIRE(cluster.Voters() == 3);
  const EditResponse answer = cluster.Edit("first", 0, "a: 1\n");
  CHECK(answer.mVerdict == EditVerdict::kCommitted);
  CHECK(answer.mRevision == Revision(1));
  CHECK(cluster.Problems().empty());
}

TEST_CASE("EntriesJoinInOneEpochAndReceiveSettings")
{
  ControlCluster cluster;
  cluster.StartControls(3);
  cluster.Edit("first", 0, "a: 1\n");
  for (int number = 1; number <= 4; ++number) {
    cluster.AddEntry("entry-" + std::to_string(number), "domain");
  }
  REQUIRE(cluster.RunUntil([&] { return cluster.AllEntriesAt(Revision(1)); }));
  cluster.Run(std::chrono::seconds(1));
  for (const auto& [name, process] : cluster.Processes()) {
    if (process.mSession) {
      INFO(name);
      CHECK(process.mSession->MayServe(cluster.LocalNow(process)) ==
            ServeVerdict::kMayServe);
      CHECK(process.mSession->LeaseHolds(cluster.LocalNow(process)));
      CHECK(process.mSession->Epoch().mMembers.size() == 4);
      CHECK(process.mSession->Epoch().mEpoch == EpochNumber(1));
    }
  }
  CHECK(cluster.Problems().empty());
}

TEST_CASE("DrainedEntryIsMarkedAtOnceAndRemovedWhenDone")
{
  ControlCluster cluster;
  cluster.StartControls(3);
  cluster.Edit("first", 0, "a: 1\n");
  cluster.AddEntry("entry-1", "north");
  cluster.AddEntry("entry-2", "south");
  cluster.RunUntil([&] { return cluster.AllEntriesAt(Revision(1)); });
  cluster.Run(std::chrono::seconds(1));
  const OperatorResponse answer =
    cluster.RequestFromLeader(DrainRequest{ .mEntry = EntryName("entry-1") });
  REQUIRE(std::holds_alternative<DrainResponse>(answer));
  ClusterProcess& entry = cluster.Process("entry-1");
  REQUIRE(cluster.RunUntil([&] { return entry.mDrainWanted; }));
  entry.mSession->Step(membership::HandoverCompleteEvent{},
                       cluster.LocalNow(entry));
  CHECK(cluster.RunUntil([&] { return entry.mWasRemoved; }));
  CHECK(cluster.Problems().empty());
}

TEST_CASE("SilentEntryIsRemovedAfterItsLeaseEnded")
{
  ControlCluster cluster;
  cluster.StartControls(3);
  cluster.Edit("first", 0, "a: 1\n");
  cluster.AddEntry("entry-1", "north");
  cluster.AddEntry("entry-2", "south");
  cluster.RunUntil([&] { return cluster.AllEntriesAt(Revision(1)); });
  cluster.Run(std::chrono::seconds(1));
  ClusterProcess& cut = cluster.Process("entry-1");
  cluster.CutOff({ "entry-1" });
  const auto& other = *cluster.Process("entry-2").mSession;
  REQUIRE(cluster.RunUntil([&] { return other.Epoch().mMembers.size() == 1; }));
  CHECK_FALSE(cut.mSession->LeaseHolds(cluster.LocalNow(cut)));
  cluster.Heal();
  CHECK(cluster.RunUntil([&] { return cut.mWasRemoved; }));
}

} // namespace peridotspool::control
