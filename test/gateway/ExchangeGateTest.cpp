// ctest-labels: promise-refusal-did-not-run
#include "gateway/GatewayFixture.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace peridotspool::gateway {

namespace {

using routing::QuarantineStage;

/** The content of RequestText(aKind, any id, aBody). */
ContentId
ContentOfText(const std::string& aKind, const std::string& aBody)
{
  const std::string target = "/" + aKind + "/x?q=1";
  return ContentOf({ .mCustomer = CustomerName(),
                     .mMethod = "POST",
                     .mHost = "h.example",
                     .mTarget = target,
                     .mBody = aBody });
}

void
List(GatewayFixture& aGateway,
     const ContentId& aContent,
     QuarantineStage aStage)
{
  aGateway.OnRelay([&] {
    const std::uint64_t known = aGateway.Core().mGate.KnownNumber();
    aGateway.Core().TakeTold(routing::QuarantineUpdate{
      .mFrom = known,
      .mTo = known + 1,
      .mLines = { { .mContent = aContent, .mStage = aStage } } });
  });
}

/** The last message of a type that the leader was told. */
template<typename Message>
std::optional<Message>
LastTold(GatewayFixture& aGateway)
{
  std::optional<Message> last;
  for (const SharedMessage& message : aGateway.ToldLeader()) {
    if (const auto* one = std::get_if<Message>(&message)) {
      last = *one;
    }
  }
  return last;
}

} // namespace

TEST_CASE("ARefusedContentReachesNoUpstreamAndAllOthersDo")
{
  GatewayFixture gateway;
  ScriptedUpstream upstream(
    [](const std::string&) { return Script{ WholeAnswer("answer") }; });
  gateway.Add("u", upstream.Where());
  List(gateway, ContentOfText("once", "deadly"), QuarantineStage::kRefused);
  Caller caller(gateway.Where());
  caller.Send(RequestText("once", "g1", "deadly"));
  const std::string refused = caller.ReadAnswer();
  CHECK(StatusOf(refused) == "HTTP/1.1 503");
  CHECK(refused.find("Retry-After: 60") != std::string::npos);
  CHECK(upstream.Requests().empty());
  caller.Send(RequestText("once", "g2", "harmless"));
  CHECK(caller.ReadAnswer().ends_with("answer"));
  gateway.OnRelay([&] { CHECK(gateway.Core().mCameAgain.size() == 1); });
}

TEST_CASE("ASlowedContentWaitsForItsTurnAndItsAnswerIsTold")
{
  GatewayFixture gateway;
  ScriptedUpstream upstream(
    [](const std::string&) { return Script{ WholeAnswer("answer") }; });
  gateway.Add("u", upstream.Where());
  const ContentId content = ContentOfText("once", "suspect");
  List(gateway, content, QuarantineStage::kOneAtATime);
  Caller caller(gateway.Where());
  caller.Send(RequestText("once", "g1", "suspect"));
  REQUIRE(Eventually(
    [&] { return LastTold<routing::PermitRequest>(gateway).has_value(); }));
  const auto ask = *LastTold<routing::PermitRequest>(gateway);
  CHECK(ask.mContent == content);
  CHECK(upstream.Requests().empty());
  gateway.OnRelay([&] { gateway.Core().TakeTurn({ ask.mTag, true }); });
  CHECK(caller.ReadAnswer().ends_with("answer"));
  CHECK(LastTold<routing::RunEnded>(gateway) ==
        routing::RunEnded{ content, ask.mTag, true });
}

TEST_CASE("WhatWaitsForATurnInVainHasNotRun")
{
  GatewayFixture gateway;
  ScriptedUpstream upstream(
    [](const std::string&) { return Script{ WholeAnswer("answer") }; });
  gateway.Add("u", upstream.Where());
  List(gateway, ContentOfText("once", "suspect"), QuarantineStage::kOneAtATime);
  Caller caller(gateway.Where());
  caller.Send(RequestText("once", "g1", "suspect"));
  const std::string answer = caller.ReadAnswer();
  CHECK(StatusOf(answer) == "HTTP/1.1 503");
  CHECK(upstream.Requests().empty());
}

TEST_CASE("TheEndOfALifeIsToldWithTheContentsItRan")
{
  GatewayFixture gateway;
  ScriptedUpstream* dying = nullptr;
  ScriptedUpstream upstream([&](const std::string&) {
    dying->StopListening();
    return Script{ "", Script::Then::kClose };
  });
  dying = &upstream;
  gateway.Add("u", upstream.Where());
  Caller caller(gateway.Where());
  caller.Send(RequestText("once", "g1", "deadly"));
  CHECK(StatusOf(caller.ReadAnswer()) == "HTTP/1.1 502");
  REQUIRE(Eventually(
    [&] { return LastTold<routing::CrashReport>(gateway).has_value(); }));
  const auto report = *LastTold<routing::CrashReport>(gateway);
  REQUIRE(report.mLines.size() == 1);
  CHECK(report.mLines[0].mContent == ContentOfText("once", "deadly"));
  CHECK(report.mLines[0].mUpstream == UpstreamName("u"));
}

// A closed connection, a reset one and bytes that are no answer: the upstream
// goes on all the same, and no content is held against it.
TEST_CASE("AnUpstreamThatGoesOnHasNotEndedWhateverItDoesToConnections")
{
  for (const auto& script : { Script{ "", Script::Then::kClose },
                              Script{ "", Script::Then::kReset },
                              Script{ "what is this\r\n\r\n" } }) {
    GatewayFixture gateway;
    ScriptedUpstream upstream([&](const std::string&) { return script; });
    gateway.Add("u", upstream.Where());
    Caller caller(gateway.Where());
    caller.Send(RequestText("once", "g1"));
    CHECK(StatusOf(caller.ReadAnswer()) == "HTTP/1.1 502");
    // The connection that is tried.
    REQUIRE(Eventually([&] { return upstream.Connections() == 2; }));
    gateway.OnRelay([] {});
    CHECK(LastTold<routing::CrashReport>(gateway) == std::nullopt);
  }
}

TEST_CASE("AnUpstreamThatSaidThatItLeavesMayEnd")
{
  GatewayFixture gateway;
  ScriptedUpstream* leaving = nullptr;
  ScriptedUpstream upstream([&](const std::string&) {
    gateway.OnRelay([&] {
      const membership::KnownUpstream known{
        .mReport = { .mName = UpstreamName("u"),
                     .mService = ServiceName("s"),
                     .mAddress = leaving->Where(),
                     .mSlots = 8,
                     .mStage = membership::UpstreamStage::kDraining }
      };
      auto& core = gateway.Core();
      core.mBoard.Take(UpstreamName("u"), &known, core.mNow());
    });
    leaving->StopListening();
    return Script{ "", Script::Then::kClose };
  });
  leaving = &upstream;
  gateway.Add("u", upstream.Where());
  Caller caller(gateway.Where());
  caller.Send(RequestText("once", "g1"));
  CHECK(StatusOf(caller.ReadAnswer()) == "HTTP/1.1 502");
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  CHECK(LastTold<routing::CrashReport>(gateway) == std::nullopt);
}

} // namespace peridotspool::gateway
