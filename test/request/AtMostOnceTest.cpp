// ctest-labels: promise-at-most-once promise-refusal-did-not-run
#include "request/ManagerBench.h"

#include <catch2/catch.hpp>

namespace peridotspool::request {

namespace {

using routing::UpstreamKind;

} // namespace

TEST_CASE("CallIsSentOnlyAfterItsIntentIsCommitted")
{
  // Symptom: a repaste order runs twice. Sequence: the executor sends the
  // order and dies before anybody else knows; another takes over and sends it.
  // Cause: sending does not wait for the committed intent.
  ManagerBench bench(1);
  bench.AddUpstream("crew-jobs-1", UpstreamKind::kPlainService);
  bench.mHoldLedger = true;
  bench.mLetThrough = 1;
  bench.Submit(0, false);
  bench.Advance(std::chrono::seconds(1));
  CHECK(bench.mStarted.empty());
  bench.mHoldLedger = false;
  bench.Advance(std::chrono::milliseconds(10));
  REQUIRE(bench.mStarted.size() == 1);
  REQUIRE(bench.Record()->mIntent.has_value());
  CHECK(bench.Record()->mIntent->mAttempt == bench.mStarted[0].mAttempt);
}

TEST_CASE("CallKeepsItsBodyAcrossTheIntent")
{
  // Symptom: the service is called with an empty body. Sequence: accept,
  // intent, send. Cause: the ledger's answer to an intent leaves the terms
  // out, and the executor replaced its whole record by it.
  ManagerBench bench(1);
  bench.AddUpstream("crew-jobs-1", UpstreamKind::kPlainService);
  bench.Submit(0, false);
  REQUIRE(bench.mStarted.size() == 1);
  CHECK(bench.mStarted[0].mBody == R"({"prompt":"line 3"})");
}

TEST_CASE("CallWhoseConnectionBreaksIsNotSentAgain")
{
  // Symptom: two teams go to the same hoarding. Sequence: the order is
  // written; the connection breaks before the answer. Cause: retry after a
  // broken connection.
  ManagerBench bench(1);
  bench.AddUpstream("crew-jobs-1", UpstreamKind::kPlainService);
  bench.AddUpstream("crew-jobs-2", UpstreamKind::kPlainService);
  const CallId caller = bench.Submit(0, false);
  REQUIRE(bench.Calls().size() == 1);
  bench.Feed(bench.Calls().front(), UpstreamBroken{ .mReason = "reset" });
  bench.Advance(std::chrono::seconds(5));
  CHECK(bench.mStarted.size() == 1);
  REQUIRE(bench.CallerOf(caller).mOutcome.has_value());
  CHECK(bench.CallerOf(caller).mOutcome->mKind ==
        ledger::OutcomeKind::kUnknown);
}

TEST_CASE("CallThatWasNeverWrittenGoesToAnotherUpstream")
{
  ManagerBench bench(1);
  bench.AddUpstream("crew-jobs-1", UpstreamKind::kPlainService);
  bench.AddUpstream("crew-jobs-2", UpstreamKind::kPlainService);
  const CallId caller = bench.Submit(0, false);
  bench.Feed(bench.Calls().front(),
             UpstreamBroken{ .mReason = "refused", .mMayHaveRun = false });
  bench.Advance(std::chrono::seconds(1));
  REQUIRE(bench.mStarted.size() == 2);
  CHECK(bench.mStarted[0].mAddress != bench.mStarted[1].mAddress);
  const auto call = bench.Calls().front();
  bench.Feed(call,
             UpstreamDone{ .mRequest = call.mStart.mRequest,
                           .mAttempt = call.mStart.mAttempt,
                           .mResult = R"({"ticket":1})" });
  REQUIRE(bench.CallerOf(caller).mOutcome.has_value());
  CHECK(bench.CallerOf(caller).mOutcome->mKind ==
        ledger::OutcomeKind::kAnswered);
}

TEST_CASE("CallOfALostExecutorEndsAsUnknown")
{
  // Symptom: an order runs a second time after an entry was reclaimed.
  // Sequence: entry 0 sends it and is lost; the caller comes to entry 1, which
  // takes over. Cause: the new executor takes silence for "did not run".
  ManagerBench bench(2);
  bench.AddUpstream("crew-jobs-1", UpstreamKind::kPlainService);
  bench.Submit(0, false);
  REQUIRE(bench.mStarted.size() == 1);
  bench.Kill(0);
  const CallId caller = bench.Attach(1, {});
  bench.Advance(std::chrono::seconds(2));
  CHECK(bench.mStarted.size() == 1);
  REQUIRE(bench.CallerOf(caller).mOutcome.has_value());
  CHECK(bench.CallerOf(caller).mOutcome->mKind ==
        ledger::OutcomeKind::kUnknown);
}

TEST_CASE("SameKeyThroughThreeEntriesRunsOnce")
{
  // Symptom: a caller that retries through other entries gets its order
  // carried out three times. Sequence: the same key at three entries at once.
  // Cause: each entry accepts on its own.
  ManagerBench bench(3);
  bench.AddUpstream("crew-jobs-1", UpstreamKind::kPlainService);
  bench.mHoldLedger = true;
  const std::vector<CallId> callers{ bench.Submit(0, false),
                                     bench.Submit(1, false),
                                     bench.Submit(2, false) };
  bench.mHoldLedger = false;
  bench.Advance(std::chrono::milliseconds(100));
  REQUIRE(bench.mStarted.size() == 1);
  const auto call = bench.Calls().front();
  bench.Feed(call,
             UpstreamDone{ .mRequest = call.mStart.mRequest,
                           .mAttempt = call.mStart.mAttempt,
                           .mResult = R"({"ticket":1})" });
  bench.Advance(std::chrono::seconds(1));
  for (const CallId caller : callers) {
    REQUIRE(bench.CallerOf(caller).mOutcome.has_value());
    CHECK(bench.CallerOf(caller).mOutcome->mBody == R"({"ticket":1})");
  }
}

TEST_CASE("RefusalIsGivenOnlyWhenNothingWasSent")
{
  ManagerBench bench(1);
  const CallId caller = bench.Submit(0, false);
  bench.Advance(std::chrono::seconds(4));
  REQUIRE(bench.CallerOf(caller).mOutcome.has_value());
  CHECK(bench.CallerOf(caller).mOutcome->mKind ==
        ledger::OutcomeKind::kRefused);
  CHECK(bench.CallerOf(caller).mOutcome->mRetryAfter > Duration(0));
  CHECK(bench.mStarted.empty());
}

TEST_CASE("CancelledRequestStopsItsUpstreamAndKeepsItsOutcome")
{
  ManagerBench bench(2);
  bench.AddUpstream("engine-1", UpstreamKind::kModelEngine);
  const CallId caller = bench.Submit(0, true);
  const auto call = bench.Calls().front();
  bench.Cancel(1);
  CHECK(bench.Calls().empty());
  bench.Feed(call, DoneFor(call, 0));
  REQUIRE(bench.CallerOf(caller).mOutcome.has_value());
  CHECK(bench.CallerOf(caller).mOutcome->mKind ==
        ledger::OutcomeKind::kCancelled);
}

} // namespace peridotspool::request
