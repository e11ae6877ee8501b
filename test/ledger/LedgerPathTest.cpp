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

TEST_CASE("GivesAnIntentOnceForARequestThatMayNotRunTwice")
{
  // Symptom: a repaste order sent two teams to one hoarding.
  // Sequence: the caller retries through three entries at once; each sends it.
  // Cause: nothing shared said that the order had been sent already.
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

TEST_CASE("AnswersAResentIntentDoneAgain")
{
  TestEntries four;
  TestCluster& cluster = four.mCluster;
  cluster.Do(four.mIds[0], kOrder, AcceptOrder(four.mIds[0]));
  cluster.Do(four.mIds[0], kOrder, IntendTo("jobs-1"));
  CHECK(cluster.Do(four.mIds[0], kOrder, IntendTo("jobs-1")).mVerdict ==
        Verdict::kDone);
}

TEST_CASE("GivesASecondIntentOnlyAfterTheFirstWasVoided")
{
  TestEntries four;
  TestCluster& cluster = four.mCluster;
  const MemberId entry = four.mIds[0];
  cluster.Do(entry, kOrder, AcceptOrder(entry));
  cluster.Do(entry, kOrder, IntendTo("jobs-1"));
  const VoidIntentOperation unsent{ .mExecutorTurn = AttemptNumber(1),
                                    .mAttempt = AttemptNumber(1) };
  CHECK(cluster.Do(entry, kOrder, unsent).mVerdict == Verdict::kDone);
  // A late duplicate of the voided intent does not stand again.
  CHECK(cluster.Do(entry, kOrder, IntendTo("jobs-1")).mVerdict ==
        Verdict::kOldTurn);
  CHECK(cluster.Do(entry, kOrder, IntendTo("jobs-2", 2)).mVerdict ==
        Verdict::kDone);
}

TEST_CASE("RefusesToSayDidNotRunWhileAnIntentStands")
{
  // Symptom: a caller was told that its order did not run, and it had run.
  // Sequence: intent, the upstream runs it, its answer is lost, the entry
  // gives up with a refusal.
  // Cause: the refusal was not checked against what had been sent.
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

TEST_CASE("TurnsDownAnIntentAfterACommittedRefusal")
{
  // Symptom: an order ran after its caller had been told that it did not.
  // Sequence: the refusal is committed; a slow executor then asks to send.
  // Cause: the refusal was only told, not recorded before it was told.
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

TEST_CASE("TurnsDownAnIntentThatWasVoidedBeforeItCame")
{
  // Symptom: a request is stuck, since an intent stands that nobody holds.
  // Sequence: an intent's answer is lost, its executor voids it, and the
  // delayed intent arrives after the void.
  // Cause: the void of an unknown intent left no trace.
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

TEST_CASE("SaysWhetherAWithdrawnRequestMayHaveRun")
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
