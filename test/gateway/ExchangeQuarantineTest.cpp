// ctest-labels: promise-refusal-did-not-run
#include "gateway/GatewayFixture.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace peridotspool::gateway {

namespace {

using routing::QuarantineStage;

/** Returns the content id of RequestText(aKind, any id, aBody). */
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

/** Sets the quarantine stage of a content at the gateway. */
void
SetStage(GatewayFixture& aGateway,
         const ContentId& aContent,
         QuarantineStage aStage)
{
  aGateway.OnRelay([&] {
    const std::uint64_t known = aGateway.Core().mQuarantineGate.KnownNumber();
    aGateway.Core().HandleQuarantineUpdate(routing::QuarantineUpdate{
      .mFrom = known,
      .mTo = known + 1,
      .mLines = { { .mContent = aContent, .mStage = aStage } } });
  });
}

/** Returns the last message of a type that was sent to the leader. */
template<typename Message>
std::optional<Message>
LastSent(GatewayFixture& aGateway)
{
  std::optional<Message> last;
  for (const PeerMessage& message : aGateway.SentToLeader()) {
    if (const auto* one = std::get_if<Message>(&message)) {
      last = *one;
    }
  }
  return last;
}

} // namespace

TEST_CASE("ARefusedContentReachesNoUpstreamAndOtherContentsDo")
{
  GatewayFixture gateway;
  ScriptedUpstream upstream(
    [](const std::string&) { return Script{ WholeAnswer("answer") }; });
  gateway.Add("u", upstream.Where());
  SetStage(gateway, ContentOfText("once", "deadly"), QuarantineStage::kRefused);
  Caller caller(gateway.Where());
  caller.Send(RequestText("once", "g1", "deadly"));
  const std::string refused = caller.ReadAnswer();
  CHECK(StatusOf(refused) == "HTTP/1.1 503");
  CHECK(refused.find("Retry-After: 60") != std::string::npos);
  CHECK(upstream.Requests().empty());
  caller.Send(RequestText("once", "g2", "harmless"));
  CHECK(caller.ReadAnswer().ends_with("answer"));
  gateway.OnRelay(
    [&] { CHECK(gateway.Core().mResubmittedContents.size() == 1); });
}

TEST_CASE("AThrottledContentWaitsForItsPermitAndItsResponseIsReported")
{
  GatewayFixture gateway;
  ScriptedUpstream upstream(
    [](const std::string&) { return Script{ WholeAnswer("answer") }; });
  gateway.Add("u", upstream.Where());
  const ContentId content = ContentOfText("once", "suspect");
  SetStage(gateway, content, QuarantineStage::kOneAtATime);
  Caller caller(gateway.Where());
  caller.Send(RequestText("once", "g1", "suspect"));
  REQUIRE(Eventually(
    [&] { return LastSent<routing::PermitRequest>(gateway).has_value(); }));
  const auto ask = *LastSent<routing::PermitRequest>(gateway);
  CHECK(ask.mContents == std::vector{ content });
  CHECK(upstream.Requests().empty());
  gateway.OnRelay([&] {
    gateway.Core().HandlePermitResponse(
      { ask.mTag, routing::PermitVerdict::kGranted });
  });
  CHECK(caller.ReadAnswer().ends_with("answer"));
  CHECK(LastSent<routing::RunEnded>(gateway) ==
        routing::RunEnded{ { content }, ask.mTag, true });
}

TEST_CASE("ARequestWithoutAPermitIsRefusedAndDoesNotRun")
{
  GatewayFixture gateway;
  ScriptedUpstream upstream(
    [](const std::string&) { return Script{ WholeAnswer("answer") }; });
  gateway.Add("u", upstream.Where());
  SetStage(
    gateway, ContentOfText("once", "suspect"), QuarantineStage::kOneAtATime);
  Caller caller(gateway.Where());
  caller.Send(RequestText("once", "g1", "suspect"));
  const std::string answer = caller.ReadAnswer();
  CHECK(StatusOf(answer) == "HTTP/1.1 503");
  CHECK(upstream.Requests().empty());
}

TEST_CASE("AnUpstreamCrashIsReportedWithTheContentsItRan")
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
    [&] { return LastSent<routing::CrashReport>(gateway).has_value(); }));
  const auto report = *LastSent<routing::CrashReport>(gateway);
  REQUIRE(report.mLines.size() == 1);
  CHECK(report.mLines[0].mContent == ContentOfText("once", "deadly"));
  CHECK(report.mLines[0].mUpstream == UpstreamName("u"));
}

// After a closed connection, a reset one, or a malformed response, the upstream
// still accepts connections, so no crash is reported for the content.
TEST_CASE("ALostConnectionToARunningUpstreamIsNotReportedAsACrash")
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
    // The second connection is the probe.
    REQUIRE(Eventually([&] { return upstream.Connections() == 2; }));
    gateway.OnRelay([] {});
    CHECK(LastSent<routing::CrashReport>(gateway) == std::nullopt);
  }
}

TEST_CASE("TheEndOfADrainingUpstreamIsNotReportedAsACrash")
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
      core.mSelector.Update(UpstreamName("u"), &known, core.mNow());
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
  CHECK(LastSent<routing::CrashReport>(gateway) == std::nullopt);
}

} // namespace peridotspool::gateway
