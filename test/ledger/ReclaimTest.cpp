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
 * A shard one of whose copies has parted from the others: `mStray` alone has an
 * operation of a primary that died, and was left out while the others went on.
 * Request 0 is on all copies, 1 on the stray's only, 2 and 3 on the others'.
 */
class PartedCopy
{
public:
  PartedCopy()
    : mCluster(SmallChunks())
  {
    mPrimary = mCluster.Join("kariakoo");
    mStray = mCluster.Join("ubungo");
    mKeeper = mCluster.Join("msasani");
    mCluster.Publish();
    mCluster.Run(seconds(1));
    mShard = ShardThatLeavesStrayOut();
    Accept(mPrimary, 0);
    mCluster.Cut(mKeeper);
    mCluster.Propose(mPrimary, KeyIn(mShard, 1), AcceptOrder(mPrimary));
    mCluster.Run(milliseconds(20));
    mCluster.Freeze(mStray);
    mCluster.Kill(mPrimary);
    mCluster.Mend(mKeeper);
    mCluster.Remove(mPrimary);
    mRival = mCluster.Join("ubungo");
    mOther = mCluster.Join("kariakoo");
    mCluster.Publish();
    mCluster.Run(seconds(1));
    Accept(mKeeper, 2);
    Accept(mKeeper, 3);
  }

  /** The entry that took the stray's place goes, so that it is chosen again. */
  void BringBackStray()
  {
    mCluster.Kill(mRival);
    mCluster.Remove(mRival);
    mCluster.Wake(mStray);
    mCluster.Publish();
  }

  void LoseOthers()
  {
    for (const MemberId member : { mKeeper, mOther }) {
      mCluster.Kill(member);
      mCluster.Remove(member);
    }
    mCluster.Publish();
  }

  Verdict Read(int aNumber)
  {
    return mCluster.Do(mStray, KeyIn(mShard, aNumber), ReadOperation())
      .mVerdict;
  }

  TestCluster mCluster;
  MemberId mPrimary;
  MemberId mStray;
  MemberId mKeeper;
  MemberId mRival;
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

  /** Finds a shard of the first primary that the rival will take over. */
  ShardId ShardThatLeavesStrayOut() const
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
        std::find(set.begin(), set.end(), mStray) == set.end();
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
  // Symptom: a photo check-in vanished.
  // Sequence: an entry dies, the repair ends, and at once another one dies
  // that holds the repaired copies; then a third.
  // Cause: the repair counted a replica before it had been filled.
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
  // Symptom: a fault log must be typed again at the machine.
  // Sequence: two entries die in one moment, before any repair.
  // Cause: the accept was told to the caller before all replicas held it.
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
  // Symptom: requests are gone after two deaths within one repair.
  // Sequence: an entry dies; while the new one is being filled another dies.
  // Cause: the copy being replaced was dropped before the new one was whole.
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
  // Symptom: requests are lost, or cut short, when a zone is reclaimed.
  // Sequence: a notice comes for all entries of a failure domain; they turn
  // draining, hand over and say when they hold nothing more; they are taken.
  // Cause: a leaving entry's copies were neither moved nor known to be moved.
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
  // Symptom: as above, but the process dies before its handover ends.
  // Sequence: notice, draining, a part is handed over, kill -9.
  // Cause: reliance on the handover rather than on the replicas.
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
  // Symptom: a new primary starts with nothing, and serves so.
  // Sequence: new entries join and become primaries of shards that they know
  // nothing of; some had never been told of earlier epochs.
  // Cause: a primary took its own ignorance for an empty shard.
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
  // Symptom: copies diverge after an entry was told of epochs 1 and 3 only.
  // Sequence: an epoch moves shards away and the next one back; one entry
  // hears of neither or of the second alone.
  // Cause: it went on in an interval that had ended meanwhile.
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

TEST_CASE("ReplacesACopyWhoseHistoryHasParted")
{
  // Symptom: a replica lacks an operation that it once acknowledged a place
  // for, and the request in it is gone when it becomes the last survivor.
  // Sequence: a primary dies after it gave a place in the log to an operation
  // that one replica alone has. That replica is frozen and left out; others
  // fill the same place with another operation. Then it comes back.
  // Cause: logs were compared by place alone, not by interval and place.
  PartedCopy parted;
  TestCluster& cluster = parted.mCluster;
  parted.BringBackStray();
  cluster.Run(seconds(1));
  parted.LoseOthers();
  cluster.Run(seconds(1));
  for (const int number : { 0, 2, 3 }) {
    CHECK(parted.Read(number) == Verdict::kDone);
  }
}

TEST_CASE("KeepsAnOlderCopyWholeUntilTheNewerOneIsThere")
{
  // Symptom: even requests that an entry had held for long are gone.
  // Sequence: the returning replica of above is being filled, and both other
  // holders die in the middle. What was accepted without it is lost, and
  // counted; what it held must still be there.
  // Cause: the old copy was dropped when the filling began.
  bool diedWithin = false;
  for (int step = 1; step <= 20; ++step) {
    PartedCopy parted;
    parted.BringBackStray();
    parted.mCluster.Run(Duration(500 * step));
    const bool filled =
      parted.mCluster.CountersOf(parted.mStray).mFullFills > 0;
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

TEST_CASE("FillsAReturningCopyByWhatChanged")
{
  // Half the shards' copies come back to where they were, one change behind.
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
