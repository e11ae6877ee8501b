// ctest-labels: promise-survives-reclaim promise-at-most-once
#include "ledger/TestEntries.h"

#include <catch2/catch.hpp>

namespace peridotspool::ledger {

namespace {

using std::chrono::seconds;

constexpr ShardId kShard(17);

LedgerOptions
WithRule(CommitRule aRule)
{
  LedgerOptions options;
  options.mCommitRule = aRule;
  return options;
}

/** One order in one shard, some of whose replicas are lost. */
class OneOrder
{
public:
  explicit OneOrder(CommitRule aRule)
    : mEntries(2, WithRule(aRule))
    , mKey(KeyIn(kShard))
    , mSet(mEntries.mCluster.Places().ReplicasOf(kShard))
    , mGateway(mEntries.Other(mSet))
  {
  }

  Verdict Accept()
  {
    return mEntries.mCluster.Do(mGateway, mKey, AcceptOrder(mGateway)).mVerdict;
  }

  /**
   * Kills the replicas at these positions in the set, replaces them and waits
   * until all shards are served.
   */
  void Lose(const std::vector<int>& aPlaces)
  {
    std::vector<MemberId> lost;
    for (const int place : aPlaces) {
      lost.push_back(mSet[place]);
      mEntries.mCluster.Kill(mSet[place]);
    }
    mEntries.Replace(lost);
    mEntries.Settle();
  }

  Verdict Read()
  {
    return mEntries.mCluster.Do(mGateway, mKey, ReadOperation()).mVerdict;
  }

  std::uint64_t Losses() const
  {
    return mEntries.Sum(&LedgerCounters::mPossibleLosses);
  }

  TestEntries mEntries;
  RequestKey mKey;
  std::vector<MemberId> mSet;
  MemberId mGateway;
};

} // namespace

TEST_CASE("AllReplicasRuleSurvivesTheLossOfAnyTwo")
{
  for (const std::vector<int>& places :
       std::vector<std::vector<int>>{ { 0 }, { 0, 1 }, { 0, 2 }, { 1, 2 } }) {
    OneOrder order(CommitRule::kAllReplicas);
    REQUIRE(order.Accept() == Verdict::kDone);
    order.Lose(places);
    CHECK(order.Read() == Verdict::kDone);
    CHECK(order.Losses() == 0);
  }
}

TEST_CASE("AllReplicasRuleDoesNotCommitWithoutAnUnresponsiveReplica")
{
  // Guards against the loss of an accepted request with only two of the three
  // entries that hold its shard. This happens when an accept is reported to the
  // caller while one replica is unresponsive, because the commit rule counts
  // too few replicas, and the other two are then lost.
  OneOrder order(CommitRule::kAllReplicas);
  order.mEntries.mCluster.Cut(order.mSet[2]);
  const CallId call = order.mEntries.mCluster.Propose(
    order.mGateway, order.mKey, AcceptOrder(order.mGateway));
  order.mEntries.mCluster.Run(seconds(2));
  CHECK(order.mEntries.mCluster.AnswerTo(call) == nullptr);
  // The shard stalls only until an epoch excludes the unresponsive replica.
  order.mEntries.Replace({ order.mSet[2] });
  order.mEntries.mCluster.Run(seconds(2));
  REQUIRE(order.mEntries.mCluster.AnswerTo(call) != nullptr);
  CHECK(order.mEntries.mCluster.AnswerTo(call)->mVerdict == Verdict::kDone);
}

TEST_CASE("PrimaryPlusOneRuleServesDespiteAnUnresponsiveReplica")
{
  OneOrder order(CommitRule::kPrimaryPlusOne);
  order.mEntries.mCluster.Cut(order.mSet[2]);
  CHECK(order.Accept() == Verdict::kDone);
}

TEST_CASE("PrimaryPlusOneRuleSurvivesTheLossOfAnyOne")
{
  for (int place = 0; place < 3; ++place) {
    OneOrder order(CommitRule::kPrimaryPlusOne);
    order.mEntries.mCluster.Cut(order.mSet[2]);
    REQUIRE(order.Accept() == Verdict::kDone);
    order.mEntries.mCluster.Mend(order.mSet[2]);
    order.Lose({ place });
    CHECK(order.Read() == Verdict::kDone);
    CHECK(order.Losses() == 0);
  }
}

TEST_CASE("PrimaryPlusOneRuleCountsLossOfBothHoldersAsPossibleLoss")
{
  // Covers the rule's known window of loss: the third replica is unresponsive,
  // an accept commits on the other two, and both are lost. The ledger counts
  // the possible loss and does not run an order as new that may already have
  // run.
  OneOrder order(CommitRule::kPrimaryPlusOne);
  order.mEntries.mCluster.Cut(order.mSet[2]);
  REQUIRE(order.Accept() == Verdict::kDone);
  order.mEntries.mCluster.Kill(order.mSet[0]);
  order.mEntries.mCluster.Kill(order.mSet[1]);
  order.mEntries.mCluster.Mend(order.mSet[2]);
  order.mEntries.Replace({ order.mSet[0], order.mSet[1] });
  order.mEntries.Settle();
  CHECK(order.Losses() > 0);
  CHECK(order.Read() == Verdict::kLost);
  CHECK(order.Accept() == Verdict::kLost);
}

TEST_CASE("LossOfAllReplicasIsCountedAndNoRequestRunsAsNew")
{
  // Guards against an order that runs twice after many instances are reclaimed:
  // all three replicas of a shard are lost at once without notice, the caller
  // resends its order, and the empty new copy is mistaken for proof that the
  // order was never accepted.
  for (const CommitRule rule :
       { CommitRule::kAllReplicas, CommitRule::kPrimaryPlusOne }) {
    OneOrder order(rule);
    REQUIRE(order.Accept() == Verdict::kDone);
    order.Lose({ 0, 1, 2 });
    CHECK(order.Losses() > 0);
    CHECK(order.Read() == Verdict::kLost);
    CHECK(order.Accept() == Verdict::kLost);
    TestCluster& cluster = order.mEntries.mCluster;
    // Idempotent requests, and requests with a newly generated key, are
    // accepted.
    CHECK(
      cluster
        .Do(order.mGateway, KeyIn(kShard, 1), AcceptOrder(order.mGateway, true))
        .mVerdict == Verdict::kDone);
    AcceptOperation fresh = AcceptOrder(order.mGateway);
    fresh.mKeyIsNew = true;
    CHECK(cluster.Do(order.mGateway, KeyIn(kShard, 2), fresh).mVerdict ==
          Verdict::kDone);
  }
}

TEST_CASE("AfterALossNothingThatMayHaveRunIsSentAgain")
{
  // Guards against an order that runs twice although its record survives: all
  // three replicas hold the accept, the third is unresponsive while the intent
  // commits on the other two, and these two are then lost. The surviving copy
  // predates the intent and must not be taken as complete.
  OneOrder order(CommitRule::kPrimaryPlusOne);
  TestCluster& cluster = order.mEntries.mCluster;
  REQUIRE(order.Accept() == Verdict::kDone);
  cluster.Run(seconds(1));
  cluster.Cut(order.mSet[2]);
  REQUIRE(cluster.Do(order.mGateway, order.mKey, IntendTo("jobs-1")).mVerdict ==
          Verdict::kDone);
  cluster.Kill(order.mSet[0]);
  cluster.Kill(order.mSet[1]);
  cluster.Mend(order.mSet[2]);
  order.mEntries.Replace({ order.mSet[0], order.mSet[1] });
  order.mEntries.Settle();
  const auto ask = [&](const Operation& aOperation) {
    return cluster.Do(order.mGateway, order.mKey, aOperation).mVerdict;
  };
  CHECK(order.Read() == Verdict::kDone);
  CHECK(ask(IntendTo("jobs-2", 2)) == Verdict::kMayHaveRun);
  CHECK(ask(FinishWith(OutcomeKind::kRefused, "")) == Verdict::kMayHaveRun);
  // The marks are on all replicas, so two more losses change nothing.
  order.mSet = cluster.Places().ReplicasOf(kShard);
  order.mGateway = order.mEntries.Other(order.mSet);
  order.Lose({ 0, 1 });
  CHECK(ask(IntendTo("jobs-2", 3)) == Verdict::kMayHaveRun);
  CHECK(ask(FinishWith(OutcomeKind::kUnknown, "")) == Verdict::kDone);
}

TEST_CASE("AfterALossARefusedKeyIsNotAcceptedAgain")
{
  // Guards against an order that runs twice although its record survives: the
  // order is refused, the third replica becomes unresponsive, the order is
  // accepted again and sent, the other two replicas are lost, and the caller
  // resends the order. The surviving copy still says "refused" and must not be
  // taken as current.
  OneOrder order(CommitRule::kPrimaryPlusOne);
  TestCluster& cluster = order.mEntries.mCluster;
  const auto ask = [&](const Operation& aOperation) {
    return cluster.Do(order.mGateway, order.mKey, aOperation).mVerdict;
  };
  REQUIRE(order.Accept() == Verdict::kDone);
  REQUIRE(ask(FinishWith(OutcomeKind::kRefused, "")) == Verdict::kDone);
  cluster.Run(seconds(1));
  cluster.Cut(order.mSet[2]);
  REQUIRE(order.Accept() == Verdict::kDone);
  REQUIRE(ask(IntendTo("jobs-1", 1, 2)) == Verdict::kDone);
  cluster.Kill(order.mSet[0]);
  cluster.Kill(order.mSet[1]);
  cluster.Mend(order.mSet[2]);
  order.mEntries.Replace({ order.mSet[0], order.mSet[1] });
  order.mEntries.Settle();
  CHECK(order.Losses() > 0);
  CHECK(order.Accept() == Verdict::kLost);
}

TEST_CASE("RemembersALossThroughTheNextRepair")
{
  OneOrder order(CommitRule::kAllReplicas);
  REQUIRE(order.Accept() == Verdict::kDone);
  order.Lose({ 0, 1, 2 });
  order.mSet = order.mEntries.mCluster.Places().ReplicasOf(kShard);
  order.mGateway = order.mEntries.Other(order.mSet);
  order.Lose({ 0, 1 });
  CHECK(order.Accept() == Verdict::kLost);
}

} // namespace peridotspool::ledger
