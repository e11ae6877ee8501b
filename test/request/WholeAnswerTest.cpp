// ctest-labels: promise-whole-own-answer promise-survives-reclaim
// promise-graceful-stop
#include "request/ManagerFixture.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

namespace peridotspool::request {

namespace {

using routing::UpstreamKind;

/** Returns token `aIndex` of the answer that every engine generates. */
std::string
Token(std::uint64_t aIndex)
{
  return "t" + std::to_string(aIndex) + " ";
}

std::string
WholeText(std::uint64_t aTokens)
{
  std::string text;
  for (std::uint64_t index = 0; index < aTokens; ++index) {
    text += Token(index);
  }
  return text;
}

std::uint64_t
FirstIndex(const StartUpstreamEffect& aStart)
{
  if (const auto* resume = std::get_if<ResumeMode>(&aStart.mMode)) {
    return resume->mFromIndex;
  }
  return std::get<GenerateMode>(aStart.mMode).mFromIndex;
}

void
FinishCall(ManagerFixture& aFixture,
           const ManagerFixture::Call& aCall,
           std::uint64_t aTokens)
{
  for (auto index = FirstIndex(aCall.mStart); index < aTokens; ++index) {
    aFixture.Feed(aCall, PieceFor(aCall, index, Token(index)));
  }
  aFixture.Feed(aCall, DoneFor(aCall, aTokens));
}

} // namespace

TEST_CASE("CrossedPieceNeverReachesTheCaller")
{
  // Guards against delivering another customer's text: the engine sends a piece
  // of another request, or of an older attempt, on this stream. The request and
  // attempt of each piece must be checked, not only its connection.
  ManagerFixture fixture(1);
  fixture.AddUpstream("engine-1", UpstreamKind::kModelEngine);
  const CallId caller = fixture.Submit(0, true);
  const auto call = fixture.Calls().front();
  fixture.Feed(call, PieceFor(call, 0, Token(0)));
  UpstreamPiece crossed = PieceFor(call, 1, "someone else's ");
  crossed.mRequest = "kilimanjaro/lease-4";
  fixture.Feed(call, crossed);
  UpstreamPiece old = PieceFor(call, 1, "an older attempt's ");
  old.mAttempt = AttemptNumber(99);
  fixture.Feed(call, old);
  fixture.Feed(call, PieceFor(call, 1, Token(1)));
  fixture.Feed(call, DoneFor(call, 2));
  CHECK(fixture.CallerOf(caller).mText == WholeText(2));
  CHECK(fixture.Counted(Tally::kCrossedPieceDropped) == 2);
}

TEST_CASE("TimedOutStreamIsResumedAndItsLateBytesAreDropped")
{
  // Guards against a repeated part in the answer: the connection times out, the
  // stream is resumed over a new one, and then the bytes of the old connection
  // arrive. Pieces from a replaced connection must be dropped.
  ManagerFixture fixture(1);
  fixture.AddUpstream("engine-1", UpstreamKind::kModelEngine);
  const CallId caller = fixture.Submit(0, true);
  const auto silent = fixture.Calls().front();
  fixture.Feed(silent, PieceFor(silent, 0, Token(0)));
  fixture.Feed(silent,
               UpstreamBroken{ .mReason = "silent", .mTimedOut = true });
  REQUIRE(fixture.Calls().size() == 1);
  const auto resumed = fixture.Calls().front();
  CHECK(std::holds_alternative<ResumeMode>(resumed.mStart.mMode));
  CHECK(resumed.mStart.mAttempt == silent.mStart.mAttempt);
  fixture.Feed(silent, PieceFor(silent, 1, Token(1)));
  FinishCall(fixture, resumed, 3);
  CHECK(fixture.CallerOf(caller).mText == WholeText(3));
  CHECK(fixture.Counted(Tally::kLatePieceDropped) == 1);
}

TEST_CASE("AnswerOfALostEngineContinuesAtAnotherAfterTheDeliveredText")
{
  // Guards against recomputing tokens after a reclaim: an engine is lost in the
  // middle of an answer, and the next engine must continue after the delivered
  // text instead of starting from the beginning.
  ManagerFixture fixture(1);
  fixture.AddUpstream("engine-1", UpstreamKind::kModelEngine);
  fixture.AddUpstream("engine-2", UpstreamKind::kModelEngine);
  const CallId caller = fixture.Submit(0, true);
  const auto first = fixture.Calls().front();
  fixture.Feed(first, PieceFor(first, 0, Token(0)));
  fixture.Feed(first, PieceFor(first, 1, Token(1)));
  fixture.Feed(first, UpstreamBroken{ .mReason = "reset" });
  fixture.Feed(fixture.Calls().front(),
               UpstreamBroken{ .mReason = "refused", .mMayHaveRun = false });
  fixture.Advance(std::chrono::seconds(1));
  REQUIRE(fixture.Calls().size() == 1);
  const auto second = fixture.Calls().front();
  CHECK(second.mStart.mAddress != first.mStart.mAddress);
  const auto* mode = std::get_if<GenerateMode>(&second.mStart.mMode);
  REQUIRE(mode != nullptr);
  CHECK(mode->mFromIndex == 2);
  CHECK(mode->mPrefix == WholeText(2));
  FinishCall(fixture, second, 4);
  CHECK(fixture.CallerOf(caller).mText == WholeText(4));
}

// Guards against an answer that two software versions generated.
TEST_CASE("AnswerOfALostEngineContinuesAtItsVersionOnly")
{
  ManagerFixture fixture(1);
  fixture.AddUpstream("engine-1", UpstreamKind::kModelEngine, "v1");
  const CallId caller = fixture.Submit(0, true);
  const auto first = fixture.Calls().front();
  fixture.Feed(first, PieceFor(first, 0, Token(0)));
  const bool hasOther = GENERATE(true, false);
  fixture.AddUpstream("engine-2", UpstreamKind::kModelEngine, "v2");
  if (hasOther) {
    fixture.AddUpstream("engine-3", UpstreamKind::kModelEngine, "v1");
  }
  fixture.Feed(first, UpstreamBroken{ .mReason = "reset" });
  fixture.Feed(fixture.Calls().front(),
               UpstreamBroken{ .mReason = "refused", .mMayHaveRun = false });
  for (int i = 0; i < 100 && fixture.Calls().empty(); ++i) {
    fixture.Advance(std::chrono::milliseconds(100));
  }
  REQUIRE(fixture.Calls().size() == 1);
  const auto second = fixture.Calls().front();
  const auto* mode = std::get_if<GenerateMode>(&second.mStart.mMode);
  REQUIRE(mode != nullptr);
  const std::uint16_t chosen = second.mStart.mAddress.mPort;
  INFO("upstream at port " << chosen << " continues from piece "
                           << mode->mFromIndex);
  const bool isOtherVersion = chosen == 9001;
  CHECK(isOtherVersion == (mode->mFromIndex == 0));
  FinishCall(fixture, second, 3);
  CHECK(fixture.CallerOf(caller).mText == WholeText(3));
}

TEST_CASE("TakeoverResumesTheEnginesStreamAndRecomputesNothing")
{
  // Guards against restarting answers when an entry is reclaimed without
  // notice: entry 0 streams and is lost, and the caller attaches at entry 1
  // with the text it has. The new executor must find the engine's stream and
  // resume it.
  ManagerFixture fixture(2);
  fixture.AddUpstream("engine-1", UpstreamKind::kModelEngine);
  const CallId before = fixture.Submit(0, true);
  const auto first = fixture.Calls().front();
  fixture.Feed(first, PieceFor(first, 0, Token(0)));
  fixture.Feed(first, PieceFor(first, 1, Token(1)));
  fixture.Kill(0);
  const CallId after = fixture.Attach(1, fixture.CallerOf(before));
  REQUIRE(fixture.Calls().size() == 1);
  const auto resumed = fixture.Calls().front();
  CHECK(std::holds_alternative<ResumeMode>(resumed.mStart.mMode));
  FinishCall(fixture, resumed, 4);
  CHECK(fixture.CallerOf(after).mText == WholeText(4));
  CHECK(fixture.Counted(Tally::kTakenOver) == 1);
  CHECK(fixture.mStarted.size() == 2);
}

TEST_CASE("CallerAtAnotherEntryGetsTheWholeAnswerDespiteLostRelays")
{
  ManagerFixture fixture(2);
  fixture.AddUpstream("engine-1", UpstreamKind::kModelEngine);
  fixture.Submit(0, true);
  const auto call = fixture.Calls().front();
  const CallId follower = fixture.Attach(1, {});
  fixture.Feed(call, PieceFor(call, 0, Token(0)));
  fixture.mDropRelays = true;
  fixture.Feed(call, PieceFor(call, 1, Token(1)));
  fixture.mDropRelays = false;
  fixture.Feed(call, PieceFor(call, 2, Token(2)));
  fixture.Feed(call, DoneFor(call, 3));
  fixture.Advance(std::chrono::seconds(3));
  CHECK(fixture.CallerOf(follower).mText == WholeText(3));
  REQUIRE(fixture.CallerOf(follower).mOutcome.has_value());
}

TEST_CASE("OutcomeLostBetweenEntriesIsReadFromTheLedger")
{
  ManagerFixture fixture(2);
  fixture.AddUpstream("engine-1", UpstreamKind::kModelEngine);
  fixture.Submit(0, true);
  const auto call = fixture.Calls().front();
  const CallId follower = fixture.Attach(1, {});
  fixture.mDropRelays = true;
  FinishCall(fixture, call, 3);
  fixture.mDropRelays = false;
  fixture.Advance(std::chrono::seconds(3));
  CHECK(fixture.CallerOf(follower).mText == WholeText(3));
  REQUIRE(fixture.CallerOf(follower).mOutcome.has_value());
  CHECK(fixture.mStarted.size() == 1);
}

TEST_CASE("LeavingEntryHandsOverItsStreams")
{
  // Guards against truncated answers after an announced reclaim: entry 0 starts
  // to leave while it streams, and must hand its streams over instead of ending
  // them.
  ManagerFixture fixture(2);
  fixture.AddUpstream("engine-1", UpstreamKind::kModelEngine);
  const CallId before = fixture.Submit(0, true);
  const auto first = fixture.Calls().front();
  fixture.Feed(first, PieceFor(first, 0, Token(0)));
  fixture.Drain(0);
  fixture.Advance(std::chrono::milliseconds(50));
  CHECK(fixture.CallerOf(before).mMoved);
  REQUIRE(fixture.Calls().size() == 1);
  const auto resumed = fixture.Calls().front();
  CHECK(resumed.mEntry == MemberId(2));
  const CallId after = fixture.Attach(1, fixture.CallerOf(before));
  FinishCall(fixture, resumed, 3);
  CHECK(fixture.CallerOf(after).mText == WholeText(3));
}

TEST_CASE("EveryCallerGetsTheWholeTextUnderAnyMixOfFaults")
{
  // Differential test: under any faults, each caller gets one outcome and, if
  // the request is answered, the text that an engine without faults generates.
  rc::prop("stream faults in any order", [] {
    constexpr std::uint64_t kTokens = 6;
    ManagerFixture fixture(2);
    fixture.AddUpstream("engine-1", UpstreamKind::kModelEngine);
    fixture.AddUpstream("engine-2", UpstreamKind::kModelEngine);
    const CallId caller = fixture.Submit(0, true);
    const CallId follower = fixture.Attach(1, {});
    const auto faults =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6));
    std::uint64_t next = 0;
    std::size_t broken = 0;
    for (const int fault : faults) {
      const auto calls = fixture.Calls();
      if (calls.empty()) {
        fixture.Advance(std::chrono::milliseconds(300));
        continue;
      }
      const auto call = calls.front();
      next = std::max(next, FirstIndex(call.mStart));
      switch (fault) {
        case 0: {
          UpstreamPiece crossed = PieceFor(call, next, "not yours ");
          crossed.mRequest = "other/request";
          fixture.Feed(call, crossed);
          break;
        }
        case 1:
          fixture.Feed(call, PieceFor(call, next + 1, Token(next + 1)));
          break;
        case 2:
          // Few enough to stay below the maximum number of attempts.
          if (++broken < 4) {
            fixture.Feed(call, UpstreamBroken{ .mTimedOut = true });
          }
          break;
        case 3:
          fixture.mDropRelays = !fixture.mDropRelays;
          break;
        default:
          if (next < kTokens) {
            fixture.Feed(call, PieceFor(call, next, Token(next)));
            next = next + 1;
          }
          break;
      }
    }
    fixture.mDropRelays = false;
    fixture.Advance(std::chrono::seconds(3));
    for (const auto& call : fixture.Calls()) {
      for (std::uint64_t index = 0; index < kTokens; ++index) {
        fixture.Feed(call, PieceFor(call, index, Token(index)));
      }
      fixture.Feed(call, DoneFor(call, kTokens));
    }
    fixture.Advance(std::chrono::seconds(4));
    for (const CallId one : { caller, follower }) {
      RC_ASSERT(fixture.CallerOf(one).mOutcome.has_value());
      if (fixture.CallerOf(one).mOutcome->mKind ==
          ledger::OutcomeKind::kAnswered) {
        RC_ASSERT(fixture.CallerOf(one).mText == WholeText(kTokens));
      }
    }
  });
}

} // namespace peridotspool::request
