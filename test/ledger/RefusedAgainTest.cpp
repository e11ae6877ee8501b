// ctest-labels: promise-refusal-did-not-run promise-at-most-once
#include "ledger/RecordRules.h"
#include "ledger/TestEntries.h"

#include <catch2/catch.hpp>

namespace peridotspool::ledger {

namespace {

const RequestKey kOrder{ CustomerName("kilimanjaro"), "repaste-22" };

} // namespace

TEST_CASE("RefusedKeyBeginsAgainWithTheNextTurn")
{
  // Symptom: a caller that was told when to come back gets its old refusal for
  // as long as answers are kept. Sequence: refused for a limit; the caller
  // waits as told and sends the same key. Cause: a known key only ever returns
  // its record.
  TestEntries four;
  TestCluster& cluster = four.mCluster;
  const MemberId first = four.mIds[0];
  const MemberId second = four.mIds[1];
  cluster.Do(first, kOrder, AcceptOrder(first));
  REQUIRE(
    cluster.Do(first, kOrder, FinishWith(OutcomeKind::kRefused, "")).mVerdict ==
    Verdict::kDone);
  const auto again = cluster.Do(second, kOrder, AcceptOrder(second));
  REQUIRE(again.mVerdict == Verdict::kDone);
  REQUIRE(again.mRecord);
  CHECK(again.mRecord->mExecutorTurn == AttemptNumber(2));
  CHECK(again.mRecord->mExecutor == second);
  CHECK_FALSE(again.mRecord->mOutcome.has_value());
}

TEST_CASE("LateIntentOfARefusedTurnIsTurnedDownAfterItBeganAgain")
{
  // Symptom: a request that was refused as not run runs after all, beside its
  // successor. Sequence: refused; begins again; the first executor's intent
  // arrives late. Cause: the turn is not counted on.
  TestEntries four;
  TestCluster& cluster = four.mCluster;
  const MemberId entry = four.mIds[0];
  cluster.Do(entry, kOrder, AcceptOrder(entry));
  cluster.Do(entry, kOrder, FinishWith(OutcomeKind::kRefused, ""));
  cluster.Do(entry, kOrder, AcceptOrder(entry));
  CHECK(cluster.Do(entry, kOrder, IntendTo("jobs-1")).mVerdict ==
        Verdict::kOldTurn);
}

TEST_CASE("DuplicateOfARefusedAcceptNeverBeginsItAgain")
{
  // Symptom: a request runs that nobody asked for any more. Sequence: an
  // accept is refused and the caller told so; it comes back and is refused
  // again; a duplicate of the first accept arrives. Cause: any accept begins a
  // refused key again.
  const Origin first{ MemberId(1), CallId(1) };
  const Origin second{ MemberId(1), CallId(2) };
  const AcceptOperation accept = AcceptOrder(MemberId(1));
  StoredRecord stored;
  stored.mRecord.mKey = kOrder;
  stored.mRecord.mTerms = accept.mTerms;
  stored.mRecord.mOutcome = Outcome{ .mKind = OutcomeKind::kRefused };
  stored.mAccepted = second;
  stored.mRefusedAccepts = { first };
  CHECK_FALSE(EvaluateOperation(&stored, accept, first).mChanges);
  CHECK_FALSE(EvaluateOperation(&stored, accept, second).mChanges);
  CHECK(EvaluateOperation(&stored, accept, Origin{ MemberId(2), CallId(1) })
          .mChanges);
}

TEST_CASE("AnsweredKeyNeverBeginsAgain")
{
  TestEntries four;
  TestCluster& cluster = four.mCluster;
  const MemberId entry = four.mIds[0];
  cluster.Do(entry, kOrder, AcceptOrder(entry));
  cluster.Do(entry, kOrder, IntendTo("jobs-1"));
  cluster.Do(entry, kOrder, FinishWith(OutcomeKind::kUnknown, ""));
  CHECK(cluster.Do(four.mIds[1], kOrder, AcceptOrder(four.mIds[1])).mVerdict ==
        Verdict::kKnown);
}

} // namespace peridotspool::ledger
