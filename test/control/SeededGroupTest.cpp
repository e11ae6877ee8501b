// ctest-labels: promise-state-survives promise-config
#include "control/ControlCluster.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <limits>
#include <set>
#include <string>
#include <vector>

namespace peridotspool::control {

namespace {

constexpr Duration kSettled = std::chrono::seconds(6);

std::uint64_t
Send(ControlCluster& aCluster, std::uint64_t aVersion)
{
  const OperatorResponse answer = aCluster.RequestFromLeader(DocumentRequest{
    .mVersion = aVersion, .mText = "document " + std::to_string(aVersion) });
  const auto* document = std::get_if<DocumentResponse>(&answer);
  return document == nullptr ? 0 : document->mNewest;
}

std::string
Newest(ControlCluster& aCluster)
{
  const OperatorResponse answer = aCluster.RequestFromLeader(SettingsRequest{});
  const auto* settings = std::get_if<SettingsResponse>(&answer);
  return settings == nullptr ? "no answer" : settings->mText;
}

/** Returns the names of the voters, as known to the leader. */
std::set<std::string>
VoterNames(ControlCluster& aCluster)
{
  std::set<std::string> names;
  const std::string leader = aCluster.Leader();
  if (!leader.empty()) {
    for (const auto& one :
         aCluster.Process(leader).mNode->Replicas().mReplicas) {
      if (one.mVoter) {
        names.insert(one.mAddress.mHost);
      }
    }
  }
  return names;
}

std::size_t
ReplicaCount(ControlCluster& aCluster)
{
  const std::string leader = aCluster.Leader();
  return leader.empty()
           ? 0
           : aCluster.Process(leader).mNode->Replicas().mReplicas.size();
}

/** Starts three founding replicas and a fourth one that joins. */
void
StartFour(ControlCluster& aCluster)
{
  aCluster.StartSeeded(4, 3);
  REQUIRE(
    aCluster.RunUntil([&] { return ReplicaCount(aCluster) == 4; }, kSettled));
}

/** Returns a voter that doesn't lead. */
std::string
Follower(ControlCluster& aCluster)
{
  for (const std::string& name : VoterNames(aCluster)) {
    if (name != aCluster.Leader()) {
      return name;
    }
  }
  return {};
}

} // namespace

TEST_CASE("SeedsFoundOneGroupAndOthersJoinIt")
{
  const std::uint64_t seed = GENERATE(range(1, 11));
  INFO("seed " << seed);
  ControlCluster cluster(seed);
  StartFour(cluster);
  CHECK(VoterNames(cluster) ==
        std::set<std::string>{ "control-1", "control-2", "control-3" });
  CHECK(Send(cluster, 5) == 5);
  CHECK(cluster.Problems().empty());
}

// Guards against an acknowledged document that is lost with a disk. A voter
// loses its disk right after the acknowledgement and restarts empty at its
// address, and the others lose power before it has the log. The fault occurs if
// an empty replica counts in a majority.
TEST_CASE("ReplicaWithLostDiskRejoinsWithoutDataLoss")
{
  const std::uint64_t seed = GENERATE(range(1, 21));
  INFO("seed " << seed);
  ControlCluster cluster(seed);
  StartFour(cluster);
  REQUIRE(Send(cluster, 5) == 5);
  const std::string wiped = Follower(cluster);
  cluster.LoseDisk(wiped);
  cluster.Restart(wiped);
  // Within the time that a replaced replica has to catch up.
  CHECK(cluster.RunUntil(
    [&] {
      return VoterNames(cluster).size() == 3 && ReplicaCount(cluster) == 4 &&
             cluster.Process(wiped).mNode->State().mSettings.mDocument == 5;
    },
    std::chrono::seconds(4)));
  for (const char* name :
       { "control-1", "control-2", "control-3", "control-4" }) {
    cluster.Crash(name);
  }
  for (const char* name :
       { "control-1", "control-2", "control-3", "control-4" }) {
    cluster.Restart(name);
  }
  CHECK(Newest(cluster) == "document 5");
  CHECK(cluster.Problems().empty());
}

// Guards against a first document that is acknowledged and dropped: version 0
// is a version, and not the same as no document.
TEST_CASE("FirstDocumentMayHaveVersionZero")
{
  ControlCluster cluster;
  StartFour(cluster);
  const OperatorResponse answer = cluster.RequestFromLeader(
    DocumentRequest{ .mVersion = 0, .mText = "document 0" });
  REQUIRE(std::holds_alternative<DocumentResponse>(answer));
  CHECK(Newest(cluster) == "document 0");
  CHECK(Send(cluster, 0) == 0);
  REQUIRE(cluster.RestartControls());
  CHECK(Newest(cluster) == "document 0");
  CHECK(Send(cluster, 1) == 1);
  CHECK(Newest(cluster) == "document 1");
  CHECK(Send(cluster, 0) == 1);
  CHECK(Newest(cluster) == "document 1");
}

TEST_CASE("DocumentsOfNeighbouringVersionsAreToldApartAtEachSize")
{
  ControlCluster cluster;
  StartFour(cluster);
  const std::uint64_t large = std::numeric_limits<std::uint64_t>::max();
  for (const std::uint64_t version :
       { (std::uint64_t{ 1 } << 53), (std::uint64_t{ 1 } << 53) + 1, large }) {
    CAPTURE(version);
    CHECK(Send(cluster, version) == version);
    CHECK(Newest(cluster) == "document " + std::to_string(version));
  }
}

// Guards against a group without a majority after the second replacement.
// Replicas are removed permanently and others start at new addresses. The fault
// occurs if replicas that are gone still count.
TEST_CASE("PermanentlyLostReplicasAreReplaced")
{
  const std::uint64_t seed = GENERATE(range(1, 11));
  INFO("seed " << seed);
  ControlCluster cluster(seed);
  StartFour(cluster);
  for (int number = 5; number <= 8; ++number) {
    REQUIRE(Send(cluster, static_cast<std::uint64_t>(number)) ==
            static_cast<std::uint64_t>(number));
    const std::string gone = Follower(cluster);
    cluster.LoseDisk(gone);
    const std::string next = "control-" + std::to_string(number);
    cluster.AddSeeded(next);
    REQUIRE(cluster.RunUntil(
      [&] {
        const auto voters = VoterNames(cluster);
        return voters.size() == 3 && !voters.contains(gone);
      },
      std::chrono::seconds(8)));
    cluster.Run(std::chrono::seconds(2));
  }
  CHECK(Newest(cluster) == "document 8");
  CHECK(cluster.Problems().empty());
}

// Guards against a partitioned replica that requests votes forever. It is
// replaced meanwhile, and reconnects with its disk and its identity. The fault
// occurs if it isn't notified that its identity has ended.
TEST_CASE("ReplacedReplicaRejoinsWithANewIdentity")
{
  const std::uint64_t seed = GENERATE(range(1, 11));
  INFO("seed " << seed);
  ControlCluster cluster(seed);
  StartFour(cluster);
  const std::string cut = Follower(cluster);
  const ReplicaId before = cluster.Process(cut).mNode->Self();
  cluster.CutOff({ cut });
  REQUIRE(cluster.RunUntil([&] { return !VoterNames(cluster).contains(cut); },
                           std::chrono::seconds(8)));
  REQUIRE(Send(cluster, 9) == 9);
  cluster.Heal();
  CHECK(cluster.RunUntil(
    [&] {
      const auto& node = *cluster.Process(cut).mNode;
      return node.Self().IsSet() && node.Self() != before &&
             node.State().mSettings.mDocument == 9;
    },
    std::chrono::seconds(5)));
  CHECK(cluster.Problems().empty());
}

// Guards against losing the majority with one instance without a disk, besides
// two with one. The fault occurs if the diskless replica becomes a voter like
// any other learner.
TEST_CASE("ReplicaWithoutADiskNeverBecomesAVoter")
{
  ControlCluster cluster(5);
  cluster.mTune = [](ControlOptions& aOptions) {
    aOptions.mVoters = 5;
    aOptions.mVolatile = aOptions.mAddress.mHost == "control-4";
  };
  cluster.StartSeeded(6, 3);
  REQUIRE(cluster.RunUntil([&] { return VoterNames(cluster).size() == 5; },
                           kSettled));
  CHECK_FALSE(VoterNames(cluster).contains("control-4"));
  REQUIRE(Send(cluster, 3) == 3);
  CHECK(cluster.RunUntil([&] {
    return cluster.Process("control-4").mNode->State().mSettings.mDocument == 3;
  }));
}

// Guards against an outage after all processes were killed, where all named
// seeds are replicas without a disk, which know nobody after a restart.
TEST_CASE("ReplicasWithoutADiskRejoinThoughSeedsNameOnlyThemselves")
{
  const std::set<std::string> diskless{ "control-4", "control-5", "control-6" };
  ControlCluster cluster(11);
  cluster.mTune = [&](ControlOptions& aOptions) {
    aOptions.mVolatile = diskless.contains(aOptions.mAddress.mHost);
  };
  cluster.StartSeeded(6, 3);
  REQUIRE(
    cluster.RunUntil([&] { return ReplicaCount(cluster) == 6; }, kSettled));
  REQUIRE(Send(cluster, 5) == 5);
  std::vector<Address> seeds;
  for (const std::string& name : diskless) {
    seeds.push_back(cluster.Process(name).mAddress);
  }
  for (const auto& [name, process] : cluster.Processes()) {
    cluster.Crash(name);
  }
  for (const std::string& name : diskless) {
    cluster.LoseDisk(name);
    cluster.Process(name).mOptions.mSeeds = seeds;
  }
  for (const auto& [name, process] : cluster.Processes()) {
    cluster.Restart(name);
  }
  CHECK(cluster.RunUntil(
    [&] {
      return std::all_of(
        diskless.begin(), diskless.end(), [&](const std::string& aName) {
          return cluster.Process(aName).mNode->State().mSettings.mDocument == 5;
        });
    },
    std::chrono::seconds(10)));
}

TEST_CASE("OrdinaryRestartReplacesNoVoter")
{
  ControlCluster cluster(3);
  StartFour(cluster);
  const auto voters = VoterNames(cluster);
  const std::string restarted = Follower(cluster);
  cluster.Crash(restarted);
  cluster.Run(std::chrono::seconds(1));
  cluster.Restart(restarted);
  cluster.Run(std::chrono::seconds(5));
  CHECK(VoterNames(cluster) == voters);
}

// Guards against an operator that reads an older document than the one
// acknowledged. Two operators send documents at once, one of them twice because
// its response was lost. The fault occurs if the last document received is used
// instead of the highest version.
TEST_CASE("HighestDocumentVersionWinsInAnyOrder")
{
  ControlCluster cluster(7);
  StartFour(cluster);
  CHECK(Send(cluster, 10) == 10);
  CHECK(Send(cluster, 30) == 30);
  CHECK(Send(cluster, 20) == 30);
  CHECK(Send(cluster, 30) == 30);
  CHECK(Newest(cluster) == "document 30");
}

// Guards against an outage after all processes were killed. One of the seeds
// that entries know had been replaced, and the elected replica is none of the
// other seeds. The fault occurs if entries query only the seeds and ignore
// responses from followers.
TEST_CASE("EntryFindsALeaderThatIsNotAmongItsSeeds")
{
  const std::uint64_t seed = GENERATE(range(1, 11));
  INFO("seed " << seed);
  ControlCluster cluster(seed);
  StartFour(cluster);
  REQUIRE(Send(cluster, 5) == 5);
  // From here on only the replica that entries weren't configured with can
  // lead.
  cluster.LoseDisk("control-1");
  REQUIRE(
    cluster.RunUntil([&] { return VoterNames(cluster).contains("control-4"); },
                     std::chrono::seconds(10)));
  cluster.RunUntil(
    [&] {
      const std::string leader = cluster.Leader();
      if (!leader.empty() && leader != "control-4") {
        cluster.Crash(leader);
        cluster.Run(std::chrono::milliseconds(1500));
        cluster.Restart(leader);
      }
      return leader == "control-4";
    },
    std::chrono::seconds(60));
  REQUIRE(cluster.Leader() == "control-4");
  cluster.AddEntry("entry-1", "a");
  CHECK(cluster.RunUntil([&] { return cluster.AllEntriesAt(Revision(1)); },
                         std::chrono::seconds(5)));
}

// Guards against entries that send work to an upstream seconds after it
// announced that it is leaving. It made the announcement to a replica that was
// partitioned or not yet in the group. The fault occurs if the replica accepts
// the announcement although no entry queries it for upstreams.
TEST_CASE("OnlyAReplicaInContactWithTheGroupIsConnected")
{
  ControlCluster cluster;
  StartFour(cluster);
  const auto connected = [&](const std::string& aName) {
    const ClusterProcess& process = cluster.Process(aName);
    return process.mNode->IsConnected(cluster.LocalNow(process));
  };
  cluster.Run(std::chrono::seconds(1));
  for (const auto& [name, process] : cluster.Processes()) {
    CHECK(connected(name));
  }
  const std::string follower = Follower(cluster);
  cluster.CutOff({ follower });
  cluster.Run(std::chrono::seconds(3));
  CHECK_FALSE(connected(follower));
  cluster.Restart(follower);
  cluster.Run(std::chrono::milliseconds(300));
  CHECK_FALSE(connected(follower));
  cluster.Heal();
  cluster.Run(kSettled);
  CHECK(connected(follower));
}

} // namespace peridotspool::control
