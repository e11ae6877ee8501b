// ctest-labels: limits unit
#include "request/ManagerFixture.h"

#include <catch2/catch.hpp>

namespace peridotspool::request {

namespace {

using routing::UpstreamKind;
using std::chrono::milliseconds;
using std::chrono::seconds;

UpstreamRefused
AskForRest(Duration aRest)
{
  return { .mStatus = 503, .mDidNotRun = true, .mRetryAfter = aRest };
}

} // namespace

// Guards against a request that waits for the upstream which turned it away
// while another one is idle.
TEST_CASE("ARequestThatIsTurnedAwayGoesElsewhereAtOnce")
{
  for (const bool isIdempotent : { true, false }) {
    ManagerFixture fixture(1);
    fixture.AddUpstream("crew-jobs-1", UpstreamKind::kPlainService);
    fixture.AddUpstream("crew-jobs-2", UpstreamKind::kPlainService);
    fixture.Submit(0, isIdempotent);
    fixture.Feed(fixture.Calls().front(), AskForRest(seconds(3)));
    fixture.Advance(milliseconds(500));
    REQUIRE(fixture.mStarted.size() == 2);
    CHECK(fixture.mStarted[0].mAddress != fixture.mStarted[1].mAddress);
  }
}

// Guards against callers that are held, or told to return too early, while no
// upstream may be used.
TEST_CASE("ARequestIsRefusedAtOnceWhileAllUpstreamsRest")
{
  ManagerFixture fixture(1);
  fixture.AddUpstream("crew-jobs-1", UpstreamKind::kPlainService);
  const CallId caller = fixture.Submit(0, true);
  fixture.Feed(fixture.Calls().front(), AskForRest(seconds(2)));
  fixture.Advance(milliseconds(500));
  CHECK(fixture.mStarted.size() == 1);
  REQUIRE(fixture.CallerOf(caller).mOutcome.has_value());
  const ledger::Outcome outcome = *fixture.CallerOf(caller).mOutcome;
  CHECK(outcome.mKind == ledger::OutcomeKind::kRefused);
  CHECK(outcome.mStatus == 503);
  CHECK(outcome.mRetryAfter >= milliseconds(1400));
  CHECK(fixture.Counted(Tally::kRefusedResting) == 1);
}

} // namespace peridotspool::request
