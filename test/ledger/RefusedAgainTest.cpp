// ctest-labels: promise-refusal-did-not-run promise-at-most-once
#include "ledger/RecordRules.h"
#include "ledger/TestEntries.h"

#include <catch2/catch.hpp>

namespace peridotspool::ledger {

namespace {

const RequestKey kOrder{ CustomerName("kilimanjaro"), "repaste-22" };

} // namespace

TEST_CASE("RefusedKeyIsAcceptedAgainWithTheNextTurn")
{
  // Guards against a caller that gets its old refusal for as long as answers
  // are retained: a request is refused by a limit, and the caller retries with
  // the same key after the indicated delay. This happens if a known key always
  // returns its record.
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

TEST_CASE("LateIntentOfARefusedTurnIsRejectedAfterARepeatedAccept")
{
  // Guards against a refused request that runs in addition to its successor:
  // the request is refused and accepted again, and the first executor's intent
  // arrives late. This happens if the executor turn is not incremented.
  TestEntries four;
  TestCluster& cluster = four.mCluster;
  const MemberId entry = four.mIds[0];
  cluster.Do(entry, kOrder, AcceptOrder(entry));
  cluster.Do(entry, kOrder, FinishWith(OutcomeKind::kRefused, ""));
  cluster.Do(entry, kOrder, AcceptOrder(entry));
  CHECK(cluster.Do(entry, kOrder, IntendTo("jobs-1")).mVerdict ==
        Verdict::kOldTurn);
}

TEST_CASE("DuplicateOfARefusedAcceptDoesNotRestartTheRequest")
{
  // Guards against a request that runs although no caller waits for it: an
  // accept is refused and the refusal reported, the caller retries and is
  // refused again, and a duplicate of the first accept arrives. This happens if
  // any accept restarts a refused key.
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

TEST_CASE("AnsweredKeyIsNeverAcceptedAgain")
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
