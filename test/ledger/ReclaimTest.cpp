// ctest-labels: promise-survives-reclaim promise-graceful-stop
#include "ledger/TestEntries.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace peridotspool::ledger {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kOrders = 120;

/**
 * A shard with one diverged copy: only `mDiverged` has an operation of a
 * primary that died, and it was excluded while the other replicas continued.
 * Request 0 is on all copies, 1 only on the diverged copy, 2 and 3 only on the
 * others.
 */
class DivergedCopy
{
public:
  DivergedCopy()
    : mCluster(SmallChunks())
  {
    mPrimary = mCluster.Join("kariakoo");
    mDiverged = mCluster.Join("ubungo");
    mSurvivor = mCluster.Join("msasani");
    mCluster.Publish();
    mCluster.Run(seconds(1));
    mShard = FindShardThatExcludesDiverged();
    Accept(mPrimary, 0);
    mCluster.Cut(mSurvivor);
    mCluster.Propose(mPrimary, KeyIn(mShard, 1), AcceptOrder(mPrimary));
    mCluster.Run(milliseconds(20));
    mCluster.Freeze(mDiverged);
    mCluster.Kill(mPrimary);
    mCluster.Mend(mSurvivor);
    mCluster.Remove(mPrimary);
    mReplacement = mCluster.Join("ubungo");
    mOther = mCluster.Join("kariakoo");
    mCluster.Publish();
    mCluster.Run(seconds(1));
    Accept(mSurvivor, 2);
    Accept(mSurvivor, 3);
  }

  /**
   * Removes the entry that replaced the diverged one, so that the diverged one
   * is selected again.
   */
  void ReinstateDiverged()
  {
    mCluster.Kill(mReplacement);
    mCluster.Remove(mReplacement);
    mCluster.Wake(mDiverged);
    mCluster.Publish();
  }

  void LoseOthers()
  {
    for (const MemberId member : { mSurvivor, mOther }) {
      mCluster.Kill(member);
      mCluster.Remove(member);
    }
    mCluster.Publish();
  }

  Verdict Read(int aNumber)
  {
    return mCluster.Do(mDiverged, KeyIn(mShard, aNumber), ReadOperation())
      .mVerdict;
  }

  TestCluster mCluster;
  MemberId mPrimary;
  MemberId mDiverged;
  MemberId mSurvivor;
  MemberId mReplacement;
  MemberId mOther;
  ShardId mShard;

private:
  static LedgerOptions SmallChunks()
  {
    LedgerOptions options;
    options.mChunkBytes = 600;
    return options;
  }

  void Accept(MemberId aGateway, int aNumber)
  {
    const auto answer =
      mCluster.Do(aGateway, KeyIn(mShard, aNumber), AcceptOrder(aGateway));
    REQUIRE(answer.mVerdict == Verdict::kDone);
  }

  /**
   * Finds a shard of the first primary whose next replica set excludes the
   * diverged entry.
   */
  ShardId FindShardThatExcludesDiverged() const
  {
    membership::EpochMap next = mCluster.Map();
    next.mMembers.erase(next.mMembers.begin());
    for (const auto& [id, domain] :
         { std::pair{ 4, "ubungo" }, std::pair{ 5, "kariakoo" } }) {
      membership::Member member;
      member.mId = MemberId(id);
      member.mDomain = FailureDomain(domain);
      next.mMembers.push_back(member);
    }
    const Placement later(next, 3);
    for (std::uint64_t shard = 0; shard < kShardCount; ++shard) {
      const auto& set = later.ReplicasOf(ShardId(shard));
      const bool without =
        std::find(set.begin(), set.end(), mDiverged) == set.end();
      if (without && mCluster.Places().PrimaryOf(ShardId(shard)) == mPrimary) {
        return ShardId(shard);
      }
    }
    FAIL("no shard moves as the test needs");
    return ShardId();
  }
};

} // namespace

TEST_CASE("KeepsRequestsWhenASecondEntryIsLostRightAfterARepair")
{
  // Guards against the loss of a request when an entry dies, the repair ends,
  // and immediately another entry that holds repaired copies dies, followed by
  // a third. This happens if the repair counts a replica before it has been
  // filled.
  TestEntries entries;
  const std::vector<RequestKey> keys = entries.AcceptMany(kOrders);
  for (int round = 0; round < 3; ++round) {
    const MemberId lost = entries.mIds[round];
    entries.mCluster.Kill(lost);
    entries.Replace({ lost });
    entries.Settle();
  }
  CHECK(entries.CountReadable(keys) == kOrders);
  CHECK(entries.Sum(&LedgerCounters::mPossibleLosses) == 0);
}

TEST_CASE("KeepsRequestsWhenTwoOfThreeReplicasAreLostAtOnce")
{
  // Guards against the loss of a request when two entries die at the same
  // moment, before any repair. This happens if the accept is reported to the
  // caller before all replicas hold it.
  TestEntries entries;
  const std::vector<RequestKey> keys = entries.AcceptMany(kOrders);
  entries.mCluster.Kill(entries.mIds[0]);
  entries.mCluster.Kill(entries.mIds[3]);
  entries.Replace({ entries.mIds[0], entries.mIds[3] });
  entries.Settle();
  CHECK(entries.CountReadable(keys) == kOrders);
  CHECK(entries.Sum(&LedgerCounters::mPossibleLosses) == 0);
}

TEST_CASE("KeepsRequestsWhenAnEntryDiesInTheMiddleOfARepair")
{
  // Guards against the loss of requests when a second entry dies while the
  // replacement of the first is being filled. This happens if the copy being
  // replaced is dropped before the new one is complete.
  for (int step = 1; step <= 8; ++step) {
    LedgerOptions options;
    options.mChunkBytes = 4000;
    TestEntries entries(1, options);
    const std::vector<RequestKey> keys = entries.AcceptMany(kOrders);
    entries.mCluster.Kill(entries.mIds[0]);
    entries.Replace({ entries.mIds[0] });
    entries.mCluster.Run(milliseconds(step));
    entries.mCluster.Kill(entries.mIds[1]);
    entries.Replace({ entries.mIds[1] });
    entries.Settle();
    CHECK(entries.CountReadable(keys) == kOrders);
  }
}

TEST_CASE("HandsEverythingOverBeforeAnAnnouncedReclaimOfAWholeDomain")
{
  // Guards against lost or truncated requests when a zone is reclaimed: all
  // entries of a failure domain get notice, start draining, hand over, report
  // that they hold nothing any more, and are removed. This fails if a draining
  // entry's copies are not moved, or the completion of the move is not known.
  TestEntries entries(2);
  const std::vector<RequestKey> keys = entries.AcceptMany(kOrders);
  const MemberId first = entries.mIds[1];
  const MemberId second = entries.mIds[5];
  entries.mCluster.Drain(first);
  entries.mCluster.Drain(second);
  entries.mCluster.Publish();
  entries.mCluster.Run(seconds(2));
  CHECK(entries.mCluster.CountersOf(first).mHeldShards == 0);
  CHECK(entries.mCluster.CountersOf(second).mHeldShards == 0);
  entries.mCluster.Kill(first);
  entries.mCluster.Kill(second);
  entries.mCluster.Remove(first);
  entries.mCluster.Remove(second);
  entries.mCluster.Publish();
  entries.Settle();
  CHECK(entries.CountReadable(keys) == kOrders);
}

TEST_CASE("KeepsRequestsWhenAnEntryDiesInTheMiddleOfAnAnnouncedReclaim")
{
  // As above, but the process is killed (kill -9) after a part of the handover.
  // Requests must survive through the replicas and not depend on the handover.
  for (int step = 1; step <= 6; ++step) {
    TestEntries entries(2);
    const std::vector<RequestKey> keys = entries.AcceptMany(kOrders);
    const MemberId first = entries.mIds[1];
    const MemberId second = entries.mIds[5];
    entries.mCluster.Drain(first);
    entries.mCluster.Drain(second);
    entries.mCluster.Publish();
    entries.mCluster.Run(milliseconds(step));
    entries.mCluster.Kill(first);
    entries.mCluster.Kill(second);
    entries.Replace({ first, second });
    entries.Settle();
    CHECK(entries.CountReadable(keys) == kOrders);
  }
}

TEST_CASE("FindsCopiesThoughThePrimaryHasJustJoined")
{
  // Guards against a new primary that serves with an empty copy: new entries
  // join and become primaries of shards that they know nothing about, and some
  // have never received earlier epochs. This happens if a primary takes its
  // lack of knowledge for an empty shard.
  TestEntries entries;
  const std::vector<RequestKey> keys = entries.AcceptMany(kOrders);
  for (int i = 0; i < 8; ++i) {
    entries.mIds.push_back(
      entries.mCluster.Join(i % 2 == 0 ? "kariakoo" : "temeke"));
  }
  entries.mCluster.Publish();
  entries.Settle();
  CHECK(entries.CountReadable(keys) == kOrders);
}

TEST_CASE("KeepsRequestsThoughEntriesMissEpochs")
{
  // Guards against copies that diverge when an entry receives only epochs 1 and
  // 3: one epoch moves shards away, the next moves them back, and an entry
  // misses both or receives only the second. This happens if the entry
  // continues in an interval that has ended.
  TestEntries entries;
  const std::vector<RequestKey> keys = entries.AcceptMany(kOrders);
  const MemberId late = entries.mIds[2];
  const MemberId extra = entries.mCluster.Join("msasani");
  entries.mCluster.Publish({ late });
  entries.mCluster.Run(milliseconds(300));
  entries.mCluster.Remove(extra);
  entries.mCluster.Publish();
  entries.Settle();
  CHECK(entries.CountReadable(keys) == kOrders);
}

TEST_CASE("ReplacesADivergedCopy")
{
  // Guards against a replica that lacks an operation although it acknowledged
  // its log position, so that the request is lost when this replica is the last
  // survivor. A primary dies after it assigned a log position to an operation
  // that only one replica has. That replica is frozen and excluded, the others
  // fill the same position with another operation, and then the replica
  // returns. This happens if logs are compared by position alone and not by
  // interval and position.
  DivergedCopy parted;
  TestCluster& cluster = parted.mCluster;
  parted.ReinstateDiverged();
  cluster.Run(seconds(1));
  parted.LoseOthers();
  cluster.Run(seconds(1));
  for (const int number : { 0, 2, 3 }) {
    CHECK(parted.Read(number) == Verdict::kDone);
  }
}

TEST_CASE("KeepsAnOlderCopyUntilTheNewerOneIsComplete")
{
  // Guards against the loss of requests that an entry has held for long: the
  // returning replica of the previous test is being filled when both other
  // holders die. The requests accepted without it are lost and counted, but
  // those that it held must survive. This happens if the old copy is dropped
  // when the fill starts.
  bool diedWithin = false;
  for (int step = 1; step <= 20; ++step) {
    DivergedCopy parted;
    parted.ReinstateDiverged();
    parted.mCluster.Run(Duration(500 * step));
    const bool filled =
      parted.mCluster.CountersOf(parted.mDiverged).mFullFills > 0;
    parted.LoseOthers();
    parted.mCluster.Run(seconds(2));
    CHECK(parted.Read(0) == Verdict::kDone);
    if (parted.Read(2) != Verdict::kDone) {
      diedWithin = diedWithin || !filled;
      CHECK(parted.Read(2) == Verdict::kLost);
    }
  }
  CHECK(diedWithin);
}

TEST_CASE("FillsAReturningCopyWithChangesOnly")
{
  // Half of the shards' copies return to their earlier entries, one change
  // behind.
  TestEntries entries;
  entries.AcceptMany(kOrders);
  const MemberId extra = entries.mCluster.Join("msasani");
  entries.mCluster.Publish();
  entries.mCluster.Run(milliseconds(5));
  entries.mCluster.Kill(extra);
  entries.mCluster.Remove(extra);
  entries.mCluster.Publish();
  entries.Settle();
  CHECK(entries.Sum(&LedgerCounters::mDeltaFills) > 0);
}

} // namespace peridotspool::ledger
