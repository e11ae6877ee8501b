// ctest-labels: promise-at-most-once promise-refusal-did-not-run
#include "ledger/TestEntries.h"

#include <catch2/catch.hpp>

namespace peridotspool::ledger {

namespace {

const RequestKey kOrder{ CustomerName("mwambao"), "repaste-22" };

} // namespace

TEST_CASE("AnswersARequestFromAcceptToForget")
{
  TestEntries four;
  TestCluster& cluster = four.mCluster;
  const MemberId entry = four.mIds[1];
  const auto accepted = cluster.Do(entry, kOrder, AcceptOrder(entry));
  CHECK(accepted.mVerdict == Verdict::kDone);
  REQUIRE(accepted.mRecord);
  CHECK(accepted.mRecord->mTerms.mBody == "{\"hoarding\": 7}");
  CHECK(accepted.mRecord->mExecutorTurn == AttemptNumber(1));
  CHECK(cluster.Do(entry, kOrder, IntendTo("jobs-1")).mVerdict ==
        Verdict::kDone);
  CHECK(cluster.Do(entry, kOrder, FinishWith(OutcomeKind::kAnswered, "done"))
          .mVerdict == Verdict::kDone);
  const auto read = cluster.Do(four.mIds[3], kOrder, ReadOperation());
  REQUIRE(read.mRecord);
  CHECK(read.mRecord->mOutcome->mBody == "done");
  CHECK(cluster.Do(entry, kOrder, ForgetOperation()).mVerdict ==
        Verdict::kDone);
  CHECK(cluster.AnsweredTwice().empty());
}

TEST_CASE("GrantsOneIntentForANonIdempotentRequest")
{
  // Guards against an order that is sent several times when a caller retries
  // through three entries at once. This happens if no shared record shows that
  // the order has already been sent.
  TestEntries four;
  TestCluster& cluster = four.mCluster;
  std::vector<CallId> accepts;
  for (int i = 0; i < 3; ++i) {
    accepts.push_back(
      cluster.Propose(four.mIds[i], kOrder, AcceptOrder(four.mIds[i])));
  }
  cluster.Run(std::chrono::seconds(1));
  int done = 0;
  int known = 0;
  for (const CallId call : accepts) {
    REQUIRE(cluster.AnswerTo(call) != nullptr);
    done += cluster.AnswerTo(call)->mVerdict == Verdict::kDone ? 1 : 0;
    known += cluster.AnswerTo(call)->mVerdict == Verdict::kKnown ? 1 : 0;
  }
  CHECK(done == 1);
  CHECK(known == 2);
  CHECK(cluster.Do(four.mIds[0], kOrder, IntendTo("jobs-1")).mVerdict ==
        Verdict::kDone);
  CHECK(cluster.Do(four.mIds[1], kOrder, IntendTo("jobs-2")).mVerdict ==
        Verdict::kMayHaveRun);
  CHECK(cluster.Do(four.mIds[2], kOrder, IntendTo("jobs-3", 2)).mVerdict ==
        Verdict::kMayHaveRun);
}

TEST_CASE("AnswersAResentIntentWithDone")
{
  TestEntries four;
  TestCluster& cluster = four.mCluster;
  cluster.Do(four.mIds[0], kOrder, AcceptOrder(four.mIds[0]));
  cluster.Do(four.mIds[0], kOrder, IntendTo("jobs-1"));
  CHECK(cluster.Do(four.mIds[0], kOrder, IntendTo("jobs-1")).mVerdict ==
        Verdict::kDone);
}

TEST_CASE("GrantsASecondIntentOnlyAfterTheFirstIsVoided")
{
  TestEntries four;
  TestCluster& cluster = four.mCluster;
  const MemberId entry = four.mIds[0];
  cluster.Do(entry, kOrder, AcceptOrder(entry));
  cluster.Do(entry, kOrder, IntendTo("jobs-1"));
  const VoidIntentOperation unsent{ .mExecutorTurn = AttemptNumber(1),
                                    .mAttempt = AttemptNumber(1) };
  CHECK(cluster.Do(entry, kOrder, unsent).mVerdict == Verdict::kDone);
  // A late duplicate of the voided intent is rejected.
  CHECK(cluster.Do(entry, kOrder, IntendTo("jobs-1")).mVerdict ==
        Verdict::kOldTurn);
  CHECK(cluster.Do(entry, kOrder, IntendTo("jobs-2", 2)).mVerdict ==
        Verdict::kDone);
}

TEST_CASE("RejectsARefusalWhileAnIntentStands")
{
  // Guards against reporting "did not run" for an order that ran: an intent is
  // committed, the upstream runs the order, its answer is lost, and the entry
  // gives up with a refusal. The refusal must be checked against what was sent.
  TestEntries four;
  TestCluster& cluster = four.mCluster;
  const MemberId entry = four.mIds[0];
  cluster.Do(entry, kOrder, AcceptOrder(entry));
  cluster.Do(entry, kOrder, IntendTo("jobs-1"));
  CHECK(
    cluster.Do(entry, kOrder, FinishWith(OutcomeKind::kRefused, "")).mVerdict ==
    Verdict::kMayHaveRun);
  CHECK(
    cluster.Do(entry, kOrder, FinishWith(OutcomeKind::kUnknown, "")).mVerdict ==
    Verdict::kDone);
}

TEST_CASE("RejectsAnIntentAfterACommittedRefusal")
{
  // Guards against an order that runs after its caller was informed that it did
  // not: the refusal is committed, and a slow executor then requests an intent.
  // This happens if the refusal is reported without being recorded first.
  TestEntries four;
  TestCluster& cluster = four.mCluster;
  const MemberId entry = four.mIds[0];
  cluster.Do(entry, kOrder, AcceptOrder(entry));
  CHECK(
    cluster.Do(entry, kOrder, FinishWith(OutcomeKind::kRefused, "")).mVerdict ==
    Verdict::kDone);
  CHECK(cluster.Do(entry, kOrder, IntendTo("jobs-1")).mVerdict ==
        Verdict::kFinished);
}

TEST_CASE("RefusesAnExecutorWhoseTurnIsOver")
{
  TestEntries four;
  TestCluster& cluster = four.mCluster;
  const TakeOverOperation takeOver{ .mExecutorTurn = AttemptNumber(1),
                                    .mExecutor = four.mIds[2] };
  cluster.Do(four.mIds[0], kOrder, AcceptOrder(four.mIds[0]));
  const auto taken = cluster.Do(four.mIds[2], kOrder, takeOver);
  CHECK(taken.mVerdict == Verdict::kDone);
  REQUIRE(taken.mRecord);
  CHECK(taken.mRecord->mTerms.mBody == "{\"hoarding\": 7}");
  CHECK(taken.mRecord->mExecutorTurn == AttemptNumber(2));
  CHECK(cluster.Do(four.mIds[2], kOrder, takeOver).mVerdict == Verdict::kDone);
  CHECK(cluster.Do(four.mIds[0], kOrder, IntendTo("jobs-1")).mVerdict ==
        Verdict::kOldTurn);
  CHECK(cluster.Do(four.mIds[2], kOrder, IntendTo("jobs-1", 1, 2)).mVerdict ==
        Verdict::kDone);
}

TEST_CASE("RefusesOtherTermsUnderAKnownKey")
{
  TestEntries four;
  TestCluster& cluster = four.mCluster;
  AcceptOperation other = AcceptOrder(four.mIds[1]);
  other.mTerms.mBody = "{\"hoarding\": 8}";
  cluster.Do(four.mIds[0], kOrder, AcceptOrder(four.mIds[0]));
  CHECK(cluster.Do(four.mIds[1], kOrder, other).mVerdict ==
        Verdict::kOtherTerms);
}

TEST_CASE("RejectsAnIntentVoidedBeforeItsArrival")
{
  // Guards against a request that is blocked by an intent without an owner: the
  // answer to the intent is lost, its executor voids it, and the delayed intent
  // arrives after the void. This happens if the void of an unknown intent
  // leaves no record.
  TestEntries four;
  TestCluster& cluster = four.mCluster;
  const MemberId entry = four.mIds[0];
  cluster.Do(entry, kOrder, AcceptOrder(entry));
  const VoidIntentOperation unsent{ .mExecutorTurn = AttemptNumber(1),
                                    .mAttempt = AttemptNumber(1) };
  CHECK(cluster.Do(entry, kOrder, unsent).mVerdict == Verdict::kDone);
  CHECK(cluster.Do(entry, kOrder, IntendTo("jobs-1")).mVerdict ==
        Verdict::kOldTurn);
  CHECK(
    cluster.Do(entry, kOrder, FinishWith(OutcomeKind::kRefused, "")).mVerdict ==
    Verdict::kDone);
}

TEST_CASE("ReportsWhetherACancelledRequestMayHaveRun")
{
  TestEntries four;
  TestCluster& cluster = four.mCluster;
  const MemberId entry = four.mIds[0];
  const RequestKey other{ CustomerName("mwambao"), "repaste-23" };
  cluster.Do(entry, kOrder, AcceptOrder(entry));
  cluster.Do(entry, other, AcceptOrder(entry));
  cluster.Do(entry, other, IntendTo("jobs-1"));
  const auto unsent = cluster.Do(entry, kOrder, CancelOperation());
  const auto sent = cluster.Do(entry, other, CancelOperation());
  CHECK(unsent.mRecord->mOutcome->mReason == "cancelled-did-not-run");
  CHECK(sent.mRecord->mOutcome->mReason == "cancelled-may-have-run");
}

} // namespace peridotspool::ledger
