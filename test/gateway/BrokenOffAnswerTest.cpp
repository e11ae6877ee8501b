// ctest-labels: promise-whole-own-answer promise-at-most-once
#include "gateway/CutAnswer.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace peridotspool::gateway {

namespace {

using Then = Script::Then;

/** Two upstreams that cut their first answer to each request, before a gateway.
 */
class CutAnswers
{
public:
  explicit CutAnswers(const AnswerKind& aKind)
    : mKind(aKind)
  {
    mGateway.OnRelay([&] {
      mGateway.Core().mRetryBudget =
        ServiceRetryBudget({ .mFixedAllowance = 1e6 });
    });
    mGateway.Add("u1", mOne.Where());
    mGateway.Add("u2", mTwo.Where());
  }

  /** Returns what a caller gets if the first answer is cut. */
  SeenAnswer Ask(std::size_t aBytes)
  {
    mCut = aBytes;
    mGateway.OnRelay([&] { mGateway.Core().mSelector.ClearEjections(); });
    Caller caller(mGateway.Where());
    const std::string id = "r" + std::to_string(aBytes);
    caller.Send(RequestText(mKind.mRoute, id, id));
    return ParseAnswer(caller.ReadAnswer());
  }
  int Runs(std::size_t aBytes) const
  {
    const std::lock_guard lock(mMutex);
    const auto found = mRuns.find("r" + std::to_string(aBytes));
    return found == mRuns.end() ? 0 : found->second;
  }

private:
  Script Answer(const std::string& aRequest)
  {
    const std::string id = aRequest.substr(aRequest.rfind('r'));
    const std::string bytes = AnswerBytes(mKind, aRequest);
    const std::lock_guard lock(mMutex);
    if (++mRuns[id] == 1) {
      return { .mAnswer = bytes.substr(0, mCut), .mThen = mKind.mThen };
    }
    const bool endsByClose = mKind.mFraming == BodyFraming::kConnection;
    return { .mAnswer = bytes,
             .mThen = endsByClose ? Then::kClose : Then::kKeep };
  }

  const AnswerKind mKind;
  std::atomic<std::size_t> mCut{ 0 };
  mutable std::mutex mMutex;
  std::map<std::string, int> mRuns;
  ScriptedUpstream mOne{ [this](const std::string& aRequest) {
    return Answer(aRequest);
  } };
  ScriptedUpstream mTwo{ [this](const std::string& aRequest) {
    return Answer(aRequest);
  } };
  GatewayFixture mGateway;
};

/** Returns true iff a resumed response has no event to send, and nothing but
 * the close of its connection tells that it has ended. */
bool
ResumesWithoutProof(const AnswerKind& aKind, std::size_t aBytes)
{
  return aKind.IsStream() && aKind.mFraming == BodyFraming::kConnection &&
         BodyOf(aKind, aBytes) == WholeBody(aKind);
}

void
CheckAnswer(const AnswerKind& aKind,
            std::size_t aBytes,
            const SeenAnswer& aSeen,
            int aRuns)
{
  INFO(ToText(aKind) << " after " << aBytes << " bytes: the caller got '"
                     << aSeen.mStatus << "' "
                     << (aSeen.mComplete ? "complete" : "incomplete")
                     << " with the body '" << aSeen.mBody << "' after " << aRuns
                     << " runs");
  const bool isSuccess = aSeen.mStatus == "HTTP/1.1 200";
  if (ProvesComplete(aKind, aBytes)) {
    CHECK(isSuccess);
    CHECK(aSeen.mComplete);
    CHECK(aSeen.mBody == BodyOf(aKind, aBytes));
    CHECK(aRuns == 1);
  } else if (aKind.IsRetryable() && ResumesWithoutProof(aKind, aBytes)) {
    CHECK_FALSE(aSeen.mComplete);
    CHECK(aSeen.mBody == WholeBody(aKind));
    CHECK(aRuns == 2);
  } else if (aKind.IsRetryable()) {
    CHECK(isSuccess);
    CHECK(aSeen.mComplete);
    CHECK(aSeen.mBody == WholeBody(aKind));
    CHECK(aRuns == 2);
  } else {
    CHECK_FALSE((isSuccess && aSeen.mComplete));
    CHECK(WholeBody(aKind).starts_with(isSuccess ? aSeen.mBody : ""));
    CHECK(aRuns == 1);
  }
}

void
CheckEachByte(const std::string& aRoute)
{
  for (const BodyFraming framing : { BodyFraming::kLength,
                                     BodyFraming::kChunked,
                                     BodyFraming::kConnection }) {
    for (const Then then : { Then::kClose, Then::kReset }) {
      const AnswerKind kind{ .mRoute = aRoute,
                             .mFraming = framing,
                             .mThen = then };
      CutAnswers answers(kind);
      const std::size_t size = AnswerBytes(kind).size();
      for (std::size_t bytes = 0; bytes <= size; ++bytes) {
        const SeenAnswer seen = answers.Ask(bytes);
        CheckAnswer(kind, bytes, seen, answers.Runs(bytes));
      }
    }
  }
}

constexpr const char* kStreamHead = "HTTP/1.1 200 OK\r\nX-Id: {id}\r\n"
                                    "X-Stamp: proof\r\n"
                                    "Content-Type: text/event-stream\r\n";

/** Returns what a caller gets of a stream with this framing and body. */
SeenAnswer
StreamSeen(const std::string& aFraming, const std::string& aBody)
{
  ScriptedUpstream upstream([&](const std::string&) {
    return Script{ .mAnswer = kStreamHead + aFraming + "\r\n" + aBody,
                   .mThen = Then::kClose };
  });
  GatewayFixture gateway;
  gateway.Add("u", upstream.Where());
  Caller caller(gateway.Where());
  caller.Send(RequestText("prompt", "1"));
  return ParseAnswer(caller.ReadAnswer());
}

} // namespace

// Guards against a broken-off run that isn't counted, is counted twice as it is
// resumed, or leaves its upstream in good standing.
TEST_CASE("ABrokenOffStreamCountsAsOneUseAndAsAFailureOfItsUpstream")
{
  std::atomic<int> runs{ 0 };
  const auto answer = [&](const std::string& aRequest) {
    const AnswerKind kind{ .mRoute = "stream",
                           .mFraming = BodyFraming::kConnection };
    const std::string bytes = AnswerBytes(kind, aRequest);
    // The first answer ends inside its first event.
    const std::size_t cut = bytes.find("data:");
    return Script{ .mAnswer = ++runs == 1 ? bytes.substr(0, cut) : bytes,
                   .mThen = Then::kClose };
  };
  ScriptedUpstream one(answer);
  ScriptedUpstream two(answer);
  GatewayFixture gateway;
  gateway.Add("u1", one.Where());
  gateway.Add("u2", two.Where());
  gateway.OnRelay([&] {
    RouteTableSource source = gateway.Core().mTable->Source();
    source.mCustomers = { { .mName = CustomerName("c"), .mKeys = { "key" } } };
    LastReason reason;
    gateway.Core().mTable = std::make_shared<const RouteTable>(
      *RouteTable::Make(std::move(source), reason));
  });
  Caller caller(gateway.Where());
  std::string request = RequestText("stream", "1");
  request.insert(request.find("\r\n") + 2, "Authorization: Bearer key\r\n");
  caller.Send(request);
  CHECK(ParseAnswer(caller.ReadAnswer()).mComplete);
  CHECK(runs == 2);
  gateway.OnRelay([&] {
    GatewayCore& core = gateway.Core();
    std::uint64_t uses = 0;
    for (const UsageWindow& window :
         core.mUsage.Report(core.mWallClock()).mWindows) {
      for (const auto& [customer, count] : window.mCounts) {
        uses += count;
      }
    }
    CHECK(uses == 1);
    CHECK(core.mCounters.Value(observe::CounterId::kUpstreamEjected) == 1);
    CHECK(core.mCounters.Value(observe::CounterId::kStreamBrokenOff) == 1);
  });
}

// Guards against a stream that reaches a caller of HTTP/1.0 in chunks, which it
// takes for the body, and whose broken-off end it takes for the end.
TEST_CASE("ACallerOfHttp10SeesWhetherItsStreamIsComplete")
{
  const AnswerKind kind{ .mRoute = "prompt",
                         .mFraming = BodyFraming::kChunked };
  const std::string bytes = AnswerBytes(kind);
  std::atomic<bool> isCut{ false };
  ScriptedUpstream upstream([&](const std::string&) {
    return Script{ .mAnswer = bytes.substr(0, bytes.size() - (isCut ? 5 : 0)),
                   .mThen = Then::kClose };
  });
  GatewayFixture gateway;
  gateway.Add("u", upstream.Where());
  for (const bool cut : { false, true }) {
    isCut = cut;
    Caller caller(gateway.Where());
    std::string request = RequestText("prompt", cut ? "cut" : "whole");
    request.replace(request.find("HTTP/1.1"), 8, "HTTP/1.0");
    caller.Send(request);
    bool isReset = false;
    const std::string answer = caller.ReadAll(&isReset);
    INFO("the caller got " << answer);
    CHECK(answer.ends_with("\r\n\r\n" + WholeBody(kind)));
    CHECK(answer.find("Transfer-Encoding") == std::string::npos);
    CHECK(isReset == cut);
  }
}

// Guards against an upstream that completes the framing of a stream which it
// has broken off itself.
TEST_CASE("AFramedStreamThatEndsInsideAnEventIsNotComplete")
{
  const std::string body = "id: 1\ndata: a\n\nid: 2\nda";
  const SeenAnswer byLength =
    StreamSeen("Content-Length: " + std::to_string(body.size()) + "\r\n", body);
  CHECK_FALSE(byLength.mComplete);
  CHECK(byLength.mBody == "id: 1\ndata: a\n\n");
  const SeenAnswer byChunks = StreamSeen("Transfer-Encoding: chunked\r\n",
                                         "17\r\n" + body + "\r\n0\r\n\r\n");
  CHECK_FALSE(byChunks.mComplete);
  CHECK(byChunks.mBody == "id: 1\ndata: a\n\n");
}

// Guards against an event without end that fills the entry's memory.
TEST_CASE("AnEventOverTheBoundEndsTheResponseIncomplete")
{
  const SeenAnswer seen = StreamSeen(
    "", "id: 1\ndata: a\n\ndata: " + std::string(9U << 20, 'x') + "\n\n");
  CHECK_FALSE(seen.mComplete);
  CHECK(seen.mBody == "id: 1\ndata: a\n\n");
}

// Guards against an answer of another type, on a route of streams, that is
// taken for a stream broken off inside its first event.
TEST_CASE("AnAnswerWithoutEventsOnARouteOfStreamsIsRelayedWhole")
{
  ScriptedUpstream upstream([](const std::string&) {
    return Script{ .mAnswer = "HTTP/1.1 200 OK\r\nX-Id: {id}\r\n"
                              "X-Stamp: proof\r\nContent-Type: "
                              "application/json\r\n\r\n{}",
                   .mThen = Then::kClose };
  });
  GatewayFixture gateway;
  gateway.Add("u", upstream.Where());
  Caller caller(gateway.Where());
  caller.Send(RequestText("prompt", "1"));
  const SeenAnswer seen = ParseAnswer(caller.ReadAnswer());
  CHECK(seen.mComplete);
  CHECK(seen.mBody == "{}");
}

// Guards against a stream that is broken off inside an event, by a close that
// is taken for its end, and reaches the caller as complete.
TEST_CASE("AStreamBrokenOffAtAnyByteIsNeverTakenForComplete")
{
  CheckEachByte("prompt");
}

// Guards against a broken-off stream that is resumed with an event twice, with
// one missing, or not at all.
TEST_CASE("AResumableStreamBrokenOffAtAnyByteIsResumed")
{
  CheckEachByte("stream");
}

// Guards against a broken-off answer that reaches the caller as complete.
TEST_CASE("AnIdempotentAnswerBrokenOffAtAnyByteIsRepeated")
{
  CheckEachByte("safe");
}

// Guards against a request that runs twice because its answer was broken off.
TEST_CASE("ANonIdempotentAnswerBrokenOffAtAnyByteFails")
{
  CheckEachByte("once");
}

} // namespace peridotspool::gateway
