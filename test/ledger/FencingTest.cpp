// ctest-labels: promise-at-most-once promise-fencing promise-whole-own-answer
#include "ledger/TestEntries.h"

#include <catch2/catch.hpp>

namespace peridotspool::ledger {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr ShardId kShard(40);

} // namespace

TEST_CASE("ACutOffPrimaryCommitsNothing")
{
  // Guards against an order that runs twice because a primary is cut off
  // together with a caller. The other replicas continue without it, and both
  // sides grant an intent for the same order if the old primary can commit
  // without the others' acknowledgement.
  TestEntries entries(2);
  TestCluster& cluster = entries.mCluster;
  const RequestKey key = KeyIn(kShard);
  const MemberId old = cluster.Places().PrimaryOf(kShard);
  const MemberId gateway = entries.Other({ old });
  REQUIRE(cluster.Do(gateway, key, AcceptOrder(old)).mVerdict ==
          Verdict::kDone);
  cluster.Cut(old);
  const CallId cut = cluster.Propose(old, key, IntendTo("jobs-1"));
  const CallId read = cluster.Propose(old, key, ReadOperation());
  cluster.Run(seconds(1));
  entries.Replace({ old });
  cluster.Run(seconds(1));
  CHECK(cluster
          .Do(gateway,
              key,
              TakeOverOperation{ .mExecutorTurn = AttemptNumber(1),
                                 .mExecutor = gateway })
          .mVerdict == Verdict::kDone);
  CHECK(cluster.Do(gateway, key, IntendTo("jobs-2", 1, 2)).mVerdict ==
        Verdict::kDone);
  CHECK(cluster.AnswerTo(cut) == nullptr);
  CHECK(cluster.AnswerTo(read) == nullptr);
  cluster.Mend(old);
  cluster.Run(seconds(20));
  REQUIRE(cluster.AnswerTo(cut) != nullptr);
  CHECK(cluster.AnswerTo(cut)->mVerdict != Verdict::kDone);
  CHECK(cluster.AnswerTo(read)->mVerdict != Verdict::kDone);
}

TEST_CASE("AFrozenPrimaryThatWakesIsRefused")
{
  // Guards against an order that runs under a replaced primary: the primary is
  // suspended with an intent in its inbox, is replaced, resumes, and replicates
  // the intent before it receives the epoch that excludes it. Replicas must
  // reject operations of an interval that has ended.
  TestEntries entries(2);
  TestCluster& cluster = entries.mCluster;
  const RequestKey key = KeyIn(kShard);
  const MemberId old = cluster.Places().PrimaryOf(kShard);
  const MemberId gateway = entries.Other({ old });
  REQUIRE(cluster.Do(gateway, key, AcceptOrder(gateway)).mVerdict ==
          Verdict::kDone);
  cluster.Freeze(old);
  const CallId first = cluster.Propose(gateway, key, IntendTo("jobs-1"));
  cluster.Run(seconds(1));
  cluster.Remove(old);
  cluster.Publish({ old });
  cluster.Run(seconds(2));
  REQUIRE(cluster.AnswerTo(first) != nullptr);
  CHECK(cluster.AnswerTo(first)->mVerdict == Verdict::kDone);
  cluster.Wake(old);
  const CallId late = cluster.Propose(old, key, IntendTo("jobs-2"));
  cluster.Run(seconds(20));
  REQUIRE(cluster.AnswerTo(late) != nullptr);
  CHECK(cluster.AnswerTo(late)->mVerdict == Verdict::kNoAnswer);
  const auto read = cluster.Do(gateway, key, ReadOperation());
  CHECK(read.mRecord->mIntent->mUpstream == UpstreamName("jobs-1"));
}

TEST_CASE("OneOfThreeRetriesRunsThoughThePrimaryIsLost")
{
  // Guards against a duplicated order: a caller retries through three entries
  // at once, the primary dies in between, and each entry that got "accepted" or
  // "known" requests an intent. The right to send must survive the loss of the
  // primary.
  for (int step = 0; step < 12; ++step) {
    TestEntries entries(2);
    TestCluster& cluster = entries.mCluster;
    const RequestKey key = KeyIn(kShard);
    const MemberId primary = cluster.Places().PrimaryOf(kShard);
    std::vector<MemberId> gateways;
    std::vector<CallId> accepts;
    while (gateways.size() < 3) {
      std::vector<MemberId> taken = gateways;
      taken.push_back(primary);
      gateways.push_back(entries.Other(taken));
      accepts.push_back(
        cluster.Propose(gateways.back(), key, AcceptOrder(gateways.back())));
    }
    cluster.Run(Duration(400 * step));
    cluster.Kill(primary);
    entries.Replace({ primary });
    cluster.Run(seconds(2));
    int done = 0;
    int intents = 0;
    for (std::size_t i = 0; i < 3; ++i) {
      REQUIRE(cluster.AnswerTo(accepts[i]) != nullptr);
      done += cluster.AnswerTo(accepts[i])->mVerdict == Verdict::kDone ? 1 : 0;
      const auto intent = cluster.Do(
        gateways[i], key, IntendTo("jobs-" + std::to_string(i), 1 + i));
      intents += intent.mVerdict == Verdict::kDone ? 1 : 0;
    }
    INFO("the primary died " << 400 * step << " us after the accepts");
    CHECK(done == 1);
    CHECK(intents == 1);
  }
}

TEST_CASE("AnOutcomeStaysThroughTheLossOfItsPrimary")
{
  // Guards against a caller that reconnects and gets a different answer: an
  // answer is committed, its primary dies, and an executor that did not receive
  // the answer finishes the request with another outcome. The second outcome
  // must not replace the first.
  TestEntries entries(2);
  TestCluster& cluster = entries.mCluster;
  const RequestKey key = KeyIn(kShard);
  const MemberId primary = cluster.Places().PrimaryOf(kShard);
  const MemberId gateway = entries.Other({ primary });
  cluster.Do(gateway, key, AcceptOrder(gateway));
  cluster.Do(gateway, key, IntendTo("jobs-1"));
  cluster.Do(gateway, key, FinishWith(OutcomeKind::kAnswered, "the answer"));
  cluster.Kill(primary);
  entries.Replace({ primary });
  const auto second =
    cluster.Do(gateway, key, FinishWith(OutcomeKind::kUnknown, ""));
  CHECK(second.mVerdict == Verdict::kFinished);
  REQUIRE(second.mRecord);
  CHECK(second.mRecord->mOutcome->mBody == "the answer");
}

TEST_CASE("ADuplicateOfAnAcceptAfterForgettingIsNotRunAsNew")
{
  // Guards against an order that runs again after its answer was acknowledged:
  // the caller's delayed retry arrives after the acknowledgement. This happens
  // if the whole record is dropped with the answer.
  TestEntries entries;
  TestCluster& cluster = entries.mCluster;
  const RequestKey key = KeyIn(kShard);
  const MemberId gateway = entries.mIds[0];
  cluster.Do(gateway, key, AcceptOrder(gateway));
  cluster.Do(gateway, key, IntendTo("jobs-1"));
  cluster.Do(gateway, key, FinishWith(OutcomeKind::kAnswered, "done"));
  cluster.Do(gateway, key, ForgetOperation());
  CHECK(
    cluster.Do(entries.mIds[1], key, AcceptOrder(entries.mIds[1])).mVerdict ==
    Verdict::kFinished);
}

} // namespace peridotspool::ledger
