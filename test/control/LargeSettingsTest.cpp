// ctest-labels: promise-state-survives promise-config
#include "control/ControlCluster.h"

#include "peridotspool/wire/Codec.h"

#include <catch2/catch.hpp>

#include <random>
#include <string>

namespace peridotspool::control {

namespace {

constexpr std::size_t kMebibyte = 1U << 20;
const std::size_t kLargest = ControlOptions{}.mMaxSettingsBytes;
/** The new journal stands beside the old one on a disk of 64 MB. */
constexpr std::size_t kJournalBytes = 32 * kMebibyte;
/** What proposals that are under way may hold in memory. */
constexpr std::size_t kPendingBytes = 16 * kMebibyte;
constexpr const char* kAll[] = { "control-1",
                                 "control-2",
                                 "control-3",
                                 "control-4" };

/** Returns a text that packing makes no smaller. */
std::string
Text(std::size_t aBytes, std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  std::string text(aBytes, '\0');
  for (char& letter : text) {
    letter = static_cast<char>(random());
  }
  return text;
}

DocumentRequest
Document(std::uint64_t aVersion, std::size_t aBytes)
{
  return { .mVersion = aVersion, .mText = Text(aBytes, aVersion) };
}

bool
Send(ControlCluster& aCluster, std::uint64_t aVersion, std::size_t aBytes)
{
  return std::holds_alternative<DocumentResponse>(
    aCluster.RequestFromLeader(Document(aVersion, aBytes)));
}

/** Returns the encoded bytes of what the process has on its disk. */
std::size_t
DiskBytes(ControlCluster& aCluster, const std::string& aName)
{
  return wire::FieldsSize(aCluster.Process(aName).mDisk);
}

/** Returns true iff the group has the replica's new identity in place of the
 * one that was lost. */
bool
HasRejoined(ControlCluster& aCluster, const std::string& aName)
{
  const std::string leader = aCluster.Leader();
  if (leader.empty()) {
    return false;
  }
  const ReplicaSet& set = aCluster.Process(leader).mNode->Replicas();
  const ReplicaId self = aCluster.Process(aName).mNode->Self();
  return set.mReplicas.size() == std::size(kAll) && set.VoterCount() == 3 &&
         self.IsSet() && set.Find(self) != nullptr;
}

void
StartFour(ControlCluster& aCluster)
{
  aCluster.mTune = [](ControlOptions& aOptions) {
    aOptions.mSnapshotEvery = 64;
    aOptions.mConsensus.mEntriesRetainedBehindSnapshot = 32;
  };
  aCluster.StartSeeded(4, 3);
  REQUIRE(aCluster.RunUntil([&] { return aCluster.Voters() == 3; }));
}

} // namespace

// Guards against journals that fill their disks because a snapshot is made
// after a number of entries, whatever they hold.
TEST_CASE("ManyChangesOfLargeSettingsLeaveJournalsBounded")
{
  const std::size_t bytes = GENERATE(std::size_t{ 1200000 }, kLargest);
  CAPTURE(bytes);
  ControlCluster cluster;
  StartFour(cluster);
  for (std::uint64_t version = 1; version <= 40; ++version) {
    CAPTURE(version);
    REQUIRE(Send(cluster, version, bytes));
    for (const char* name : kAll) {
      CAPTURE(name);
      REQUIRE(DiskBytes(cluster, name) <= kJournalBytes);
    }
  }
  CHECK(cluster.Problems().empty());
}

// Guards against a replica that never comes back after it lost its disk,
// because the log that it lacks is sent in one message, which is too large to
// be sent.
TEST_CASE("ReplicaThatBeginsAnewGetsALongLogInBoundedMessages")
{
  const std::size_t bytes = GENERATE(std::size_t{ 1200000 }, kLargest);
  const std::uint64_t changes = GENERATE(2, 7, 36);
  CAPTURE(bytes, changes);
  ControlCluster cluster;
  StartFour(cluster);
  for (std::uint64_t version = 1; version <= changes; ++version) {
    REQUIRE(Send(cluster, version, bytes));
  }
  for (const char* name : { "control-1", "control-2" }) {
    CAPTURE(name);
    cluster.LoseDisk(name);
    cluster.Restart(name);
    CHECK(cluster.RunUntil(
      [&] {
        return HasRejoined(cluster, name) &&
               cluster.Process(name).mNode->State().mSettings.mDocument ==
                 changes;
      },
      std::chrono::seconds(4)));
  }
  const OperatorResponse newest = cluster.RequestFromLeader(SettingsRequest{});
  CHECK(std::get<SettingsResponse>(newest).mText == Text(bytes, changes));
  // One entry or snapshot with whole settings, and little beside them.
  CHECK(cluster.LargestMessage() <= kLargest + 2 * kMebibyte);
  CHECK(cluster.Problems().empty());
}

// Guards against settings that are acknowledged though a replica can't hold
// them.
TEST_CASE("SettingsLargerThanTheBoundAreRefusedAndChangeNothing")
{
  ControlCluster cluster;
  StartFour(cluster);
  REQUIRE(Send(cluster, 1, kLargest));
  const OperatorResponse answer =
    cluster.RequestFromLeader(Document(2, kLargest + 1));
  REQUIRE(std::holds_alternative<TooLargeResponse>(answer));
  CHECK(std::get<TooLargeResponse>(answer).mBytes == kLargest + 1);
  CHECK(std::get<TooLargeResponse>(answer).mMost == kLargest);
  const OperatorResponse newest = cluster.RequestFromLeader(SettingsRequest{});
  CHECK(std::get<SettingsResponse>(newest).mText == Text(kLargest, 1));
}

// Guards against memory that fills with proposals while disks are slow: their
// number is bounded, but each may hold whole settings.
TEST_CASE("ProposalsThatWaitForSlowDisksAreBoundedInBytes")
{
  ControlCluster cluster;
  StartFour(cluster);
  cluster.mFaults.mMaxSync = std::chrono::milliseconds(400);
  const std::string leader = cluster.Leader();
  std::vector<CallId> calls;
  for (std::uint64_t version = 1; version <= 8; ++version) {
    calls.push_back(cluster.Ask(leader, Document(version, kLargest)));
  }
  cluster.Run(std::chrono::seconds(5));
  std::size_t accepted = 0;
  std::size_t refused = 0;
  for (const CallId call : calls) {
    const auto answer = cluster.ResponseTo(call);
    REQUIRE(answer.has_value());
    accepted += std::holds_alternative<DocumentResponse>(*answer);
    refused += std::holds_alternative<OverloadedResponse>(*answer);
  }
  CHECK(accepted >= 1);
  CHECK(accepted * kLargest <= kPendingBytes);
  CHECK(accepted + refused == calls.size());
  cluster.mFaults.mMaxSync = std::chrono::milliseconds(4);
  CHECK(Send(cluster, 9, kLargest));
}

} // namespace peridotspool::control
