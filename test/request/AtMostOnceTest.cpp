// ctest-labels: promise-at-most-once promise-refusal-did-not-run
#include "request/ManagerFixture.h"

#include <catch2/catch.hpp>

namespace peridotspool::request {

namespace {

using routing::UpstreamKind;

} // namespace

TEST_CASE("CallIsSentOnlyAfterItsIntentIsCommitted")
{
  // Guards against running a non-idempotent request twice: if the executor sent
  // it before its intent was committed and was then lost, the next executor
  // would send it again.
  ManagerFixture fixture(1);
  fixture.AddUpstream("crew-jobs-1", UpstreamKind::kPlainService);
  fixture.mHoldLedgerAnswers = true;
  fixture.mHeldAnswersToRelease = 1;
  fixture.Submit(0, false);
  fixture.Advance(std::chrono::seconds(1));
  CHECK(fixture.mStarted.empty());
  fixture.mHoldLedgerAnswers = false;
  fixture.Advance(std::chrono::milliseconds(10));
  REQUIRE(fixture.mStarted.size() == 1);
  REQUIRE(fixture.Record()->mIntent.has_value());
  CHECK(fixture.Record()->mIntent->mAttempt == fixture.mStarted[0].mAttempt);
}

TEST_CASE("CallIsSentWithItsBodyAfterTheIntentIsCommitted")
{
  // Guards against calling the service with an empty body: the ledger's answer
  // to an intent omits the terms, so the executor must not replace its whole
  // record with the one in that answer.
  ManagerFixture fixture(1);
  fixture.AddUpstream("crew-jobs-1", UpstreamKind::kPlainService);
  fixture.Submit(0, false);
  REQUIRE(fixture.mStarted.size() == 1);
  CHECK(fixture.mStarted[0].mBody == R"({"prompt":"line 3"})");
}

TEST_CASE("CallWhoseConnectionBreaksIsNotSentAgain")
{
  // Guards against running a non-idempotent request twice: the connection
  // breaks after the request was written and before the answer, and a retry
  // would send it again.
  ManagerFixture fixture(1);
  fixture.AddUpstream("crew-jobs-1", UpstreamKind::kPlainService);
  fixture.AddUpstream("crew-jobs-2", UpstreamKind::kPlainService);
  const CallId caller = fixture.Submit(0, false);
  REQUIRE(fixture.Calls().size() == 1);
  fixture.Feed(fixture.Calls().front(), UpstreamBroken{ .mReason = "reset" });
  fixture.Advance(std::chrono::seconds(5));
  CHECK(fixture.mStarted.size() == 1);
  REQUIRE(fixture.CallerOf(caller).mOutcome.has_value());
  CHECK(fixture.CallerOf(caller).mOutcome->mKind ==
        ledger::OutcomeKind::kUnknown);
}

TEST_CASE("CallThatWasNeverWrittenGoesToAnotherUpstream")
{
  ManagerFixture fixture(1);
  fixture.AddUpstream("crew-jobs-1", UpstreamKind::kPlainService);
  fixture.AddUpstream("crew-jobs-2", UpstreamKind::kPlainService);
  const CallId caller = fixture.Submit(0, false);
  fixture.Feed(fixture.Calls().front(),
               UpstreamBroken{ .mReason = "refused", .mMayHaveRun = false });
  fixture.Advance(std::chrono::seconds(1));
  REQUIRE(fixture.mStarted.size() == 2);
  CHECK(fixture.mStarted[0].mAddress != fixture.mStarted[1].mAddress);
  const auto call = fixture.Calls().front();
  fixture.Feed(call,
               UpstreamDone{ .mRequest = call.mStart.mRequest,
                             .mAttempt = call.mStart.mAttempt,
                             .mResult = R"({"ticket":1})" });
  REQUIRE(fixture.CallerOf(caller).mOutcome.has_value());
  CHECK(fixture.CallerOf(caller).mOutcome->mKind ==
        ledger::OutcomeKind::kAnswered);
}

TEST_CASE("CallOfALostExecutorEndsAsUnknown")
{
  // Guards against running a non-idempotent request twice: entry 0 sends it and
  // is lost (reclaimed), the caller attaches at entry 1, which takes over. The
  // new executor must not conclude from the missing answer that the request did
  // not run.
  ManagerFixture fixture(2);
  fixture.AddUpstream("crew-jobs-1", UpstreamKind::kPlainService);
  fixture.Submit(0, false);
  REQUIRE(fixture.mStarted.size() == 1);
  fixture.Kill(0);
  const CallId caller = fixture.Attach(1, {});
  fixture.Advance(std::chrono::seconds(2));
  CHECK(fixture.mStarted.size() == 1);
  REQUIRE(fixture.CallerOf(caller).mOutcome.has_value());
  CHECK(fixture.CallerOf(caller).mOutcome->mKind ==
        ledger::OutcomeKind::kUnknown);
}

TEST_CASE("SameKeyThroughThreeEntriesRunsOnce")
{
  // Guards against running a request three times: a caller that retries through
  // other entries submits the same key at three entries at once, and each entry
  // would accept it independently.
  ManagerFixture fixture(3);
  fixture.AddUpstream("crew-jobs-1", UpstreamKind::kPlainService);
  fixture.mHoldLedgerAnswers = true;
  const std::vector<CallId> callers{ fixture.Submit(0, false),
                                     fixture.Submit(1, false),
                                     fixture.Submit(2, false) };
  fixture.mHoldLedgerAnswers = false;
  fixture.Advance(std::chrono::milliseconds(100));
  REQUIRE(fixture.mStarted.size() == 1);
  const auto call = fixture.Calls().front();
  fixture.Feed(call,
               UpstreamDone{ .mRequest = call.mStart.mRequest,
                             .mAttempt = call.mStart.mAttempt,
                             .mResult = R"({"ticket":1})" });
  fixture.Advance(std::chrono::seconds(1));
  for (const CallId caller : callers) {
    REQUIRE(fixture.CallerOf(caller).mOutcome.has_value());
    CHECK(fixture.CallerOf(caller).mOutcome->mBody == R"({"ticket":1})");
  }
}

TEST_CASE("RefusalIsGivenOnlyWhenNothingWasSent")
{
  ManagerFixture fixture(1);
  const CallId caller = fixture.Submit(0, false);
  fixture.Advance(std::chrono::seconds(4));
  REQUIRE(fixture.CallerOf(caller).mOutcome.has_value());
  CHECK(fixture.CallerOf(caller).mOutcome->mKind ==
        ledger::OutcomeKind::kRefused);
  CHECK(fixture.CallerOf(caller).mOutcome->mRetryAfter > Duration(0));
  CHECK(fixture.mStarted.empty());
}

TEST_CASE("CancelledRequestStopsItsUpstreamAndKeepsItsOutcome")
{
  ManagerFixture fixture(2);
  fixture.AddUpstream("engine-1", UpstreamKind::kModelEngine);
  const CallId caller = fixture.Submit(0, true);
  const auto call = fixture.Calls().front();
  fixture.Cancel(1);
  CHECK(fixture.Calls().empty());
  fixture.Feed(call, DoneFor(call, 0));
  REQUIRE(fixture.CallerOf(caller).mOutcome.has_value());
  CHECK(fixture.CallerOf(caller).mOutcome->mKind ==
        ledger::OutcomeKind::kCancelled);
}

} // namespace peridotspool::request
