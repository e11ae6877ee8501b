// ctest-labels: promise-survives-reclaim promise-graceful-stop
#include "ledger/TestEntries.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace peridotspool::ledger {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kOrders = 120;

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
  TestCluster cluster;
  const MemberId primary = cluster.Join("kariakoo");
  const MemberId stray = cluster.Join("ubungo");
  const MemberId keeper = cluster.Join("msasani");
  cluster.Publish();
  cluster.Run(seconds(1));
  membership::EpochMap next = cluster.Map();
  next.mMembers.erase(next.mMembers.begin());
  for (const auto& [id, domain] :
       { std::pair{ 4, "ubungo" }, std::pair{ 5, "kariakoo" } }) {
    membership::Member member;
    member.mId = MemberId(id);
    member.mDomain = FailureDomain(domain);
    next.mMembers.push_back(member);
  }
  const Placement later(next, 3);
  std::uint64_t shard = 0;
  const auto fits = [&] {
    const auto& set = later.ReplicasOf(ShardId(shard));
    const bool without = std::find(set.begin(), set.end(), stray) == set.end();
    return without && cluster.Places().PrimaryOf(ShardId(shard)) == primary;
  };
  while (!fits()) {
    ++shard;
    REQUIRE(shard < kShardCount);
  }
  const ShardId id(shard);
  cluster.Cut(keeper);
  cluster.Propose(primary, KeyIn(id, 0), AcceptOrder(primary));
  cluster.Run(milliseconds(20));
  cluster.Freeze(stray);
  cluster.Kill(primary);
  cluster.Mend(keeper);
  cluster.Remove(primary);
  const MemberId rival = cluster.Join("ubungo");
  const MemberId other = cluster.Join("kariakoo");
  cluster.Publish();
  cluster.Run(seconds(1));
  REQUIRE(cluster.Do(keeper, KeyIn(id, 1), AcceptOrder(keeper)).mVerdict ==
          Verdict::kDone);
  REQUIRE(cluster.Do(keeper, KeyIn(id, 2), AcceptOrder(keeper)).mVerdict ==
          Verdict::kDone);
  cluster.Kill(rival);
  cluster.Remove(rival);
  cluster.Wake(stray);
  cluster.Publish();
  cluster.Run(seconds(1));
  cluster.Kill(keeper);
  cluster.Kill(other);
  cluster.Remove(keeper);
  cluster.Remove(other);
  cluster.Publish();
  cluster.Run(seconds(1));
  for (const int number : { 1, 2 }) {
    CHECK(cluster.Do(stray, KeyIn(id, number), ReadOperation()).mVerdict ==
          Verdict::kDone);
  }
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
