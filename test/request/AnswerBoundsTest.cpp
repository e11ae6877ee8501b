// ctest-labels: hostile unit
// Upstreams whose answers are over the bounds on what an entry holds.

#include "request/ManagerFixture.h"

#include <catch2/catch.hpp>

namespace peridotspool::request {

namespace {

using routing::UpstreamKind;
using std::chrono::milliseconds;

const std::size_t kBound = RequestOptions{}.mResponses.mResponseBytes;

} // namespace

// Guards against an answer without end that is kept until memory is used up.
TEST_CASE("AnEndlessAnswerIsRetriedElsewhere")
{
  ManagerFixture fixture(1);
  fixture.AddUpstream("floor-data-1", UpstreamKind::kPlainService);
  fixture.AddUpstream("floor-data-2", UpstreamKind::kPlainService);
  const CallId caller = fixture.Submit(0, true);
  const ManagerFixture::Call endless = fixture.Calls().front();
  fixture.Feed(endless, UpstreamHeld{ kBound });
  REQUIRE(fixture.Calls().size() == 1);
  CHECK(fixture.mStarted.size() == 1);
  CHECK(fixture.HeldBytes(0) == kBound);
  fixture.Feed(endless, UpstreamHeld{ kBound + 1 });
  INFO("expected the call to be dropped and one to the other upstream");
  CHECK(fixture.Calls().empty());
  CHECK(fixture.HeldBytes(0) == 0);
  fixture.Advance(milliseconds(500));
  REQUIRE(fixture.Calls().size() == 1);
  CHECK(fixture.Calls().front().mStart.mAddress != endless.mStart.mAddress);
  CHECK(fixture.Counted(Tally::kBoundBodyBytes) == 1);
  CHECK(fixture.Counted(Tally::kRetryResponseBound) == 1);
  UpstreamDone done = DoneFor(fixture.Calls().front(), 0);
  done.mResult = "whole";
  fixture.Feed(fixture.Calls().front(), done);
  REQUIRE(fixture.CallerOf(caller).mOutcome);
  CHECK(fixture.CallerOf(caller).mOutcome->mKind ==
        ledger::OutcomeKind::kAnswered);
}

// Guards against a call that is run again although it may have had its effect.
TEST_CASE("AnEndlessAnswerToACallThatRunsOnceIsNoRetry")
{
  ManagerFixture fixture(1);
  fixture.AddUpstream("floor-data-1", UpstreamKind::kPlainService);
  fixture.AddUpstream("floor-data-2", UpstreamKind::kPlainService);
  const CallId caller = fixture.Submit(0, false);
  fixture.Feed(fixture.Calls().front(), UpstreamHeld{ kBound + 1 });
  fixture.Advance(milliseconds(500));
  CHECK(fixture.mStarted.size() == 1);
  REQUIRE(fixture.CallerOf(caller).mOutcome);
  CHECK(fixture.CallerOf(caller).mOutcome->mKind ==
        ledger::OutcomeKind::kUnknown);
}

// Guards against a stream without end that goes on over new connections, or at
// another upstream, each time that a connection's bound is reached.
TEST_CASE("AStreamOverTheBoundEnds")
{
  ManagerFixture fixture(1);
  fixture.AddUpstream("engine-1", UpstreamKind::kModelEngine);
  fixture.AddUpstream("engine-2", UpstreamKind::kModelEngine);
  const CallId caller = fixture.Submit(0, true);
  const std::string text(kBound / 4, 't');
  for (std::uint64_t index = 0; index <= 4; ++index) {
    REQUIRE(fixture.Calls().size() == 1);
    const ManagerFixture::Call call = fixture.Calls().front();
    fixture.Feed(call, PieceFor(call, index, text));
    if (index == 2) {
      fixture.Feed(call, UpstreamBroken{ .mReason = "body limit" });
      fixture.Advance(milliseconds(500));
    }
  }
  const std::size_t calls = fixture.mStarted.size();
  fixture.Advance(milliseconds(500));
  INFO("expected no call after the text was over the bound");
  CHECK(fixture.mStarted.size() == calls);
  CHECK(fixture.Calls().empty());
  REQUIRE(fixture.CallerOf(caller).mOutcome);
  CHECK(fixture.CallerOf(caller).mOutcome->mKind ==
        ledger::OutcomeKind::kFailed);
  CHECK(fixture.CallerOf(caller).mOutcome->mReason == "answer-over-bound");
}

// Guards against an answer that is complete, and given up before its outcome is
// committed.
TEST_CASE("AnAnswerThatIsCompleteIsDelivered")
{
  ManagerFixture fixture(1);
  fixture.AddUpstream("engine-1", UpstreamKind::kModelEngine);
  const CallId caller = fixture.Submit(0, true);
  fixture.mHoldLedgerAnswers = true;
  const ManagerFixture::Call call = fixture.Calls().front();
  fixture.Feed(call, PieceFor(call, 0, std::string(kBound, 't')));
  CHECK(fixture.HeldBytes(0) == kBound);
  fixture.Feed(call, DoneFor(call, 1));
  CHECK(fixture.HeldBytes(0) == 0);
  fixture.Advance(milliseconds(500));
  fixture.mHoldLedgerAnswers = false;
  fixture.Advance(milliseconds(500));
  REQUIRE(fixture.CallerOf(caller).mOutcome);
  CHECK(fixture.CallerOf(caller).mOutcome->mKind ==
        ledger::OutcomeKind::kAnswered);
  CHECK(fixture.CallerOf(caller).mText.size() == kBound);
}

} // namespace peridotspool::request
