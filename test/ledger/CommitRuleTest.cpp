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

/** One order in one shard, and the loss of some of the shard's replicas. */
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

  /** Kills these replicas, by their place in the set, and repairs. */
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

TEST_CASE("AllReplicasRulePromisesNothingThatASilentReplicaLacks")
{
  // Symptom: an accepted request is gone with two entries, though three hold
  // each shard.
  // Sequence: one replica is silent; an accept is told to the caller all the
  // same; the other two are lost.
  // Cause: the rule counted fewer replicas than the promise needs.
  OneOrder order(CommitRule::kAllReplicas);
  order.mEntries.mCluster.Cut(order.mSet[2]);
  const CallId call = order.mEntries.mCluster.Propose(
    order.mGateway, order.mKey, AcceptOrder(order.mGateway));
  order.mEntries.mCluster.Run(seconds(2));
  CHECK(order.mEntries.mCluster.AnswerTo(call) == nullptr);
  // It stalls only until an epoch leaves the silent one out.
  order.mEntries.Replace({ order.mSet[2] });
  order.mEntries.mCluster.Run(seconds(2));
  REQUIRE(order.mEntries.mCluster.AnswerTo(call) != nullptr);
  CHECK(order.mEntries.mCluster.AnswerTo(call)->mVerdict == Verdict::kDone);
}

TEST_CASE("PrimaryPlusOneRuleGoesOnWithASilentReplica")
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

TEST_CASE("PrimaryPlusOneRuleLosesWhatItsPairHeldAndSaysSo")
{
  // Symptom: an accepted request is gone after two losses.
  // Sequence: the third replica is silent, an accept commits on the other
  // two, both are lost.
  // Cause: the rule's window. The ledger counts the possible loss, and does
  // not run an order as new that may have run.
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

TEST_CASE("LossOfAllReplicasIsCountedAndRunsNothingAsNew")
{
  // Symptom: a repaste order runs twice after a wave of reclaims.
  // Sequence: all three replicas of a shard are lost at once, unannounced;
  // the caller sends its order again.
  // Cause: an empty new copy was taken for "never accepted".
  for (const CommitRule rule :
       { CommitRule::kAllReplicas, CommitRule::kPrimaryPlusOne }) {
    OneOrder order(rule);
    REQUIRE(order.Accept() == Verdict::kDone);
    order.Lose({ 0, 1, 2 });
    CHECK(order.Losses() > 0);
    CHECK(order.Read() == Verdict::kLost);
    CHECK(order.Accept() == Verdict::kLost);
    TestCluster& cluster = order.mEntries.mCluster;
    // What may run twice, or has a key that was made just now, goes on.
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
  // Symptom: an order runs twice, though its record survived.
  // Sequence: all three replicas hold an accept; the third is silent while
  // the intent commits on the other two, which are then lost.
  // Cause: the surviving copy is older than the intent, and was believed.
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
  // The marks are on all replicas: two more losses change nothing.
  order.mSet = cluster.Places().ReplicasOf(kShard);
  order.mGateway = order.mEntries.Other(order.mSet);
  order.Lose({ 0, 1 });
  CHECK(ask(IntendTo("jobs-2", 3)) == Verdict::kMayHaveRun);
  CHECK(ask(FinishWith(OutcomeKind::kUnknown, "")) == Verdict::kDone);
}

TEST_CASE("AfterALossARefusedKeyDoesNotBeginAgain")
{
  // Symptom: an order runs twice, though its record survived.
  // Sequence: an order is refused; the third replica turns silent; the order
  // begins again and is sent; the other two replicas are lost; the caller
  // sends the order once more.
  // Cause: the surviving copy still says "refused", and was believed.
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
