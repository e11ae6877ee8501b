// ctest-labels: promise-refusal-did-not-run
#include "gateway/GatewayFixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

namespace peridotspool::gateway {

namespace {

using routing::QuarantineStage;
using Then = Script::Then;

const PromptPartId kPart(0xc0c0);

std::string
PromptText(const std::string& aId, const std::string& aPrompt)
{
  return "POST /prompt/x HTTP/1.1\r\nHost: h.example\r\nX-Id: " + aId +
         "\r\nX-Deadline: 1000\r\nX-Prefix: " + aPrompt +
         "\r\nContent-Length: " + std::to_string(aId.size()) + "\r\n\r\n" + aId;
}

void
List(GatewayFixture& aGateway, QuarantineStage aStage)
{
  aGateway.OnRelay([&] {
    const std::uint64_t known = aGateway.Core().mQuarantineGate.KnownNumber();
    aGateway.Core().HandleQuarantineUpdate(routing::QuarantineUpdate{
      .mFrom = known,
      .mTo = known + 1,
      .mLines = { { .mContent = ContentOf(kPart), .mStage = aStage } } });
  });
}

template<typename Message>
std::vector<Message>
Sent(GatewayFixture& aGateway)
{
  std::vector<Message> sent;
  for (const PeerMessage& message : aGateway.SentToLeader()) {
    if (const auto* one = std::get_if<Message>(&message)) {
      sent.push_back(*one);
    }
  }
  return sent;
}

bool
HasReportedAnAnswer(GatewayFixture& aGateway)
{
  const auto reports = Sent<routing::RunEnded>(aGateway);
  return std::any_of(reports.begin(), reports.end(), [](const auto& aOne) {
    return aOne.mAnswered &&
           std::find(aOne.mContents.begin(),
                     aOne.mContents.end(),
                     ContentOf(kPart)) != aOne.mContents.end();
  });
}

/** A whole event, with nothing but the connection's end after it. */
const std::string kUnframedStream = "HTTP/1.1 200 OK\r\nX-Id: {id}\r\n"
                                    "X-Stamp: proof\r\n"
                                    "Content-Type: text/event-stream\r\n\r\n"
                                    "id: 1\ndata: a\n\n";

} // namespace

TEST_CASE("ARequestWithARefusedPartReachesNoUpstream")
{
  GatewayFixture gateway;
  ScriptedUpstream upstream([](const std::string&) {
    return Script{ kUnframedStream, Then::kClose };
  });
  gateway.Add("u", upstream.Where());
  List(gateway, QuarantineStage::kRefused);
  Caller caller(gateway.Where());
  for (const std::string prompt :
       { "c0c0:1,9:1", "a:1,c0c0:5,9:1", "a:1,b:2,00C0C0:5,9:1" }) {
    caller.Send(PromptText("r", prompt));
    const std::string refused = caller.ReadAnswer();
    CHECK(StatusOf(refused) == "HTTP/1.1 503");
    CHECK(refused.find("Retry-After: 60") != std::string::npos);
  }
  CHECK(upstream.Requests().empty());
  caller.Send(PromptText("harmless", "a:1,c0c0:5"));
  CHECK(StatusOf(caller.ReadAnswer()) == "HTTP/1.1 200");
}

TEST_CASE("ACrashIsReportedWithTheSharedPartsThatWereRunning")
{
  GatewayFixture gateway;
  ScriptedUpstream* dying = nullptr;
  ScriptedUpstream upstream([&](const std::string&) {
    dying->StopListening();
    return Script{ "", Then::kClose };
  });
  dying = &upstream;
  gateway.Add("u", upstream.Where());
  Caller caller(gateway.Where());
  caller.Send(PromptText("r", "a:1,c0c0:5,9:1"));
  CHECK(StatusOf(caller.ReadAnswer()) == "HTTP/1.1 502");
  REQUIRE(
    Eventually([&] { return !Sent<routing::CrashReport>(gateway).empty(); }));
  const auto report = Sent<routing::CrashReport>(gateway).back();
  REQUIRE(report.mLines.size() == 1);
  CHECK(report.mLines[0].mParts == std::vector{ PromptPartId(0xa), kPart });
}

// Guards against taking the crash of an upstream for the end of an answer that
// has neither a length nor chunks, which would clear the part that caused it.
TEST_CASE("AnUnframedAnswerCountsOnceTheUpstreamIsSeenAlive")
{
  GatewayFixture gateway;
  bool crashes = false;
  ScriptedUpstream* answering = nullptr;
  ScriptedUpstream upstream([&](const std::string&) {
    if (crashes) {
      answering->StopListening();
    }
    return Script{ kUnframedStream, Then::kClose };
  });
  answering = &upstream;
  SECTION("it is alive")
  {
    gateway.Add("u", upstream.Where());
    List(gateway, QuarantineStage::kWatched);
    Caller caller(gateway.Where());
    caller.Send(PromptText("r", "c0c0:5,9:1"));
    CHECK(StatusOf(caller.ReadAnswer()) == "HTTP/1.1 200");
    CHECK(Eventually([&] { return HasReportedAnAnswer(gateway); }));
  }
  SECTION("it has crashed")
  {
    crashes = true;
    gateway.Add("u", upstream.Where());
    List(gateway, QuarantineStage::kWatched);
    Caller caller(gateway.Where());
    caller.Send(PromptText("r", "c0c0:5,9:1"));
    CHECK(StatusOf(caller.ReadAnswer()) == "HTTP/1.1 200");
    REQUIRE(
      Eventually([&] { return !Sent<routing::CrashReport>(gateway).empty(); }));
    CHECK_FALSE(HasReportedAnAnswer(gateway));
    CHECK(Sent<routing::CrashReport>(gateway).back().mLines[0].mParts ==
          std::vector{ kPart });
  }
}

// Guards against more sends than permits: each request that reaches an upstream
// counts, whether it runs there or not.
TEST_CASE("APermitOfAPartIsForOneSend")
{
  GatewayFixture gateway;
  ScriptedUpstream upstream([](const std::string&) {
    return Script{ "HTTP/1.1 421 Misdirected\r\nX-Id: {id}\r\n"
                   "Content-Length: 0\r\n\r\n" };
  });
  gateway.Add("u1", upstream.Where());
  gateway.Add("u2", upstream.Where());
  List(gateway, QuarantineStage::kOneAtATime);
  Caller caller(gateway.Where());
  caller.Send(PromptText("r", "c0c0:5,9:1"));
  REQUIRE(
    Eventually([&] { return !Sent<routing::PermitRequest>(gateway).empty(); }));
  const auto first = Sent<routing::PermitRequest>(gateway).back();
  gateway.OnRelay([&] {
    gateway.Core().HandlePermitResponse(
      { first.mTag, routing::PermitVerdict::kGranted });
  });
  REQUIRE(Eventually([&] {
    return Sent<routing::PermitRequest>(gateway).back().mTag != first.mTag;
  }));
  CHECK(upstream.Requests().size() == 1);
  CHECK(StatusOf(caller.ReadAnswer()) == "HTTP/1.1 503");
  CHECK(upstream.Requests().size() == 1);
}

} // namespace peridotspool::gateway
