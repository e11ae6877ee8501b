// ctest-labels: promise-survives-reclaim promise-graceful-stop
#include "ledger/TestEntries.h"

#include <catch2/catch.hpp>

namespace peridotspool::ledger {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr ShardId kShard(77);

/** An order whose executor is not the primary of its shard. */
class RunningOrder
{
public:
  RunningOrder()
    : mEntries(2)
    , mKey(KeyIn(kShard))
    , mPrimary(mEntries.mCluster.Places().PrimaryOf(kShard))
    , mExecutor(mEntries.Other(mEntries.mCluster.Places().ReplicasOf(kShard)))
  {
    mEntries.mCluster.Do(mExecutor, mKey, AcceptOrder(mExecutor));
  }

  std::size_t Announced()
  {
    return mEntries.mCluster.OrphansAt(mPrimary).size();
  }

  TestEntries mEntries;
  RequestKey mKey;
  MemberId mPrimary;
  MemberId mExecutor;
};

} // namespace

TEST_CASE("AnnouncesARequestWhoseExecutorIsGoneUntilItIsTakenOver")
{
  // Guards against an accepted request that is never answered because only its
  // executor tracks it: the executor dies, and no other entry knows about the
  // request.
  RunningOrder order;
  TestCluster& cluster = order.mEntries.mCluster;
  cluster.Kill(order.mExecutor);
  cluster.Remove(order.mExecutor);
  cluster.Publish();
  cluster.Run(milliseconds(1500));
  CHECK(order.Announced() == 2);
  const MemberId next = order.mPrimary;
  CHECK(cluster
          .Do(next,
              order.mKey,
              TakeOverOperation{ .mExecutorTurn = AttemptNumber(1),
                                 .mExecutor = next })
          .mVerdict == Verdict::kDone);
  const std::size_t before = order.Announced();
  cluster.Run(seconds(5));
  CHECK(order.Announced() <= before + 1);
}

TEST_CASE("AnnouncesARequestOnceWhoseExecutorIsLeaving")
{
  RunningOrder order;
  TestCluster& cluster = order.mEntries.mCluster;
  cluster.Drain(order.mExecutor);
  cluster.Publish();
  cluster.Run(seconds(5));
  CHECK(order.Announced() == 1);
}

TEST_CASE("AnnouncesARequestPastItsDeadlineThoughItsExecutorLives")
{
  // Guards against a caller that waits forever for a request that hangs in an
  // entry: the executor is suspended but remains on the member list. This
  // happens if only the executor checks the deadline.
  RunningOrder order;
  TestCluster& cluster = order.mEntries.mCluster;
  cluster.Freeze(order.mExecutor);
  cluster.Run(seconds(20));
  CHECK(order.Announced() == 0);
  cluster.Run(seconds(2));
  CHECK(order.Announced() >= 1);
  CHECK(cluster.OrphansAt(order.mPrimary).front().mRemaining <=
        Duration::zero());
}

TEST_CASE("TheNextPrimaryAnnouncesOrphansOfTheLastOne")
{
  // Guards against a request that is lost when its executor and its primary die
  // at the same moment. This happens if the tracking of orphans dies with the
  // primary.
  RunningOrder order;
  TestCluster& cluster = order.mEntries.mCluster;
  cluster.Kill(order.mExecutor);
  cluster.Kill(order.mPrimary);
  order.mEntries.Replace({ order.mExecutor, order.mPrimary });
  order.mEntries.Settle();
  const MemberId next = cluster.Places().PrimaryOf(kShard);
  REQUIRE(next != order.mPrimary);
  REQUIRE(cluster.OrphansAt(next).size() >= 1);
  CHECK(cluster.OrphansAt(next).front().mRecord.mKey == order.mKey);
}

} // namespace peridotspool::ledger
