// ctest-labels: promise-whole-own-answer promise-at-most-once
// Answers of engines and services, cut at every byte.

#include "http/CallLog.h"
#include "http/RawSocket.h"
#include "peridotspool/http/HttpClient.h"
#include "peridotspool/http/UpstreamAdapter.h"

#include <catch2/catch.hpp>

#include <cstdio>
#include <string>
#include <variant>
#include <vector>

namespace peridotspool::http {

using routing::UpstreamKind;
using test::CallLog;
using test::CallOutcome;
using test::RawListener;

namespace {

enum class Framing
{
  kLength,
  kChunked,
  kConnection,
};

std::string
InOneChunk(const std::string& aBody)
{
  char size[20];
  std::snprintf(size, sizeof(size), "%zx\r\n", aBody.size());
  return size + aBody + "\r\n0\r\n\r\n";
}

std::string
AnswerOf(const std::string& aBody, Framing aFraming)
{
  const std::string head = "HTTP/1.1 200 OK\r\n";
  switch (aFraming) {
    case Framing::kLength:
      return head + "content-length: " + std::to_string(aBody.size()) +
             "\r\n\r\n" + aBody;
    case Framing::kChunked:
      return head + "transfer-encoding: chunked\r\n\r\n" + InOneChunk(aBody);
    case Framing::kConnection:
      break;
  }
  return head + "\r\n" + aBody;
}

std::string
BodyOf(UpstreamKind aKind)
{
  if (aKind == UpstreamKind::kPlainService) {
    return R"({"request":"r","attempt":1,"result":{"reels":12}})";
  }
  return "event: token\ndata: "
         R"({"request":"r","attempt":1,"index":0,"text":"a"})"
         "\n\nevent: done\ndata: "
         R"({"request":"r","attempt":1,"tokens":1})"
         "\n\n";
}

/** Returns the outcomes of a call whose connection ends after these bytes. */
std::vector<request::UpstreamOutcome>
OutcomesOf(UpstreamKind aKind, const std::string& aBytes, bool aIsReset)
{
  RawListener listener;
  CallLog log;
  AnswerReader reader = MakeAnswerReader(aKind);
  std::vector<request::UpstreamOutcome> outcomes;
  const auto collect = log.Handler();
  HttpClient client({}, [&](ClientCallId aCall, CallEvent aEvent) {
    for (auto& outcome : std::visit(
           [&](auto& aReader) { return aReader.Take(aEvent); }, reader)) {
      outcomes.push_back(std::move(outcome));
    }
    collect(aCall, std::move(aEvent));
  });
  client.Start(1, listener.LocalAddress(), { .mMethod = "GET", .mPath = "/" });
  const auto peer = listener.Accept();
  peer->ReadUntil("\r\n\r\n");
  peer->Send(aBytes);
  if (aIsReset) {
    peer->Reset();
  } else {
    peer->Close();
  }
  REQUIRE(log.WaitFor(1).Ended());
  client.Stop();
  return outcomes;
}

/** @param aProof bytes that prove the answer whole if they are read */
void
CheckOutcomes(const std::vector<request::UpstreamOutcome>& aOutcomes,
              std::size_t aBytes,
              std::size_t aProof,
              bool aIsReset)
{
  REQUIRE_FALSE(aOutcomes.empty());
  const auto& last = aOutcomes.back();
  const auto* broken = std::get_if<request::UpstreamBroken>(&last);
  const bool isDone = std::holds_alternative<request::UpstreamDone>(last);
  // A reset may discard bytes that have come.
  if (aBytes >= aProof && (!aIsReset || isDone)) {
    CHECK(isDone);
  } else {
    REQUIRE(broken != nullptr);
    CHECK(broken->mMayHaveRun);
  }
}

void
CheckEachByte(UpstreamKind aKind, bool aIsReset)
{
  const std::string body = BodyOf(aKind);
  for (const Framing framing :
       { Framing::kLength, Framing::kChunked, Framing::kConnection }) {
    const std::string answer = AnswerOf(body, framing);
    const std::size_t bodyEnd = answer.find(body) + body.size();
    // The last event proves a stream's end, whatever marks the body's end.
    const bool isService = aKind == UpstreamKind::kPlainService;
    const bool needsFrame = isService && framing == Framing::kChunked;
    const bool needsClose = isService && framing == Framing::kConnection;
    const std::size_t proof = needsFrame               ? answer.size()
                              : needsClose && aIsReset ? answer.size() + 1
                                                       : bodyEnd;
    for (std::size_t bytes = 0; bytes <= answer.size(); ++bytes) {
      const auto outcomes =
        OutcomesOf(aKind, answer.substr(0, bytes), aIsReset);
      INFO((aIsReset ? "reset" : "closed")
           << " after " << bytes << " of " << answer.size()
           << " bytes, framing " << int(framing));
      CheckOutcomes(outcomes, bytes, proof, aIsReset);
    }
  }
}

} // namespace

// Guards against an engine's broken-off stream that is kept as its answer.
TEST_CASE("AnEnginesStreamClosedAtAnyByteBeforeItsLastEventIsBroken")
{
  CheckEachByte(UpstreamKind::kModelEngine, false);
}

// Guards against a reset that is taken for the end of a stream.
TEST_CASE("AnEnginesStreamResetAtAnyByteBeforeItsLastEventIsBroken")
{
  CheckEachByte(UpstreamKind::kModelEngine, true);
}

// Guards against a service's broken-off result that is kept as its answer.
TEST_CASE("AServicesAnswerClosedAtAnyByteBeforeItsEndIsBroken")
{
  CheckEachByte(UpstreamKind::kPlainService, false);
}

// Guards against a reset that is taken for the end of a result.
TEST_CASE("AServicesAnswerResetAtAnyByteBeforeItsEndIsBroken")
{
  CheckEachByte(UpstreamKind::kPlainService, true);
}

} // namespace peridotspool::http
