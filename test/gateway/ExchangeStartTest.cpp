// ctest-labels: promise-refusal-did-not-run
#include "gateway/GatewayFixture.h"

#include <catch2/catch.hpp>

#include <utility>

namespace peridotspool::gateway {

// Symptom: after a restart of everything each first request is refused, comes
// back a second later and is late.
// Sequence: the request comes before the settings and the upstreams.
// Cause: an entry that says no when it only has to wait for a moment.
//
// It waits for the list of contents that end upstreams as well: each entry that
// is restarted would send such a request once more. So it does for the list of
// rollouts, without which any version would get requests.
TEST_CASE("ARequestInAnEntryThatHasJustStartedWaitsForWhatTheEntryLacks")
{
  ScriptedUpstream upstream([](const std::string&) {
    return Script{ .mAnswer = WholeAnswer("later") };
  });
  GatewayFixture gateway;
  std::shared_ptr<const RouteTable> table;
  gateway.OnRelay([&] {
    table = std::exchange(gateway.Core().mTable, nullptr);
    gateway.Core().mStartPlan =
      StartPlan({ .mWithin = std::chrono::seconds(60),
                  .mWaitMost = std::chrono::seconds(30) },
                gateway.Core().mNow());
  });
  Caller caller(gateway.Where());
  caller.Send(RequestText("safe", "r1"));
  REQUIRE(Eventually([&] { return gateway.Exchanges() == 1; }));
  gateway.OnRelay([&] {
    gateway.Core().mTable = table;
    gateway.Core().WakeStarting();
    // Nothing that it lacks has come: it goes on waiting.
    gateway.Core().WakeStarting();
  });
  CHECK(upstream.Requests().empty());
  gateway.Add("u1", upstream.Where());
  gateway.OnRelay([&] {
    // One of two replicas has told of its upstreams.
    gateway.Core().mStartPlan.TakeNews(1, 2, gateway.Core().mNow());
    gateway.Core().WakeStarting();
  });
  CHECK(upstream.Requests().empty());
  gateway.OnRelay([&] {
    gateway.Core().mStartPlan.TakeNews(2, 2, gateway.Core().mNow());
    gateway.Core().WakeStarting();
  });
  CHECK(upstream.Requests().empty());
  gateway.OnRelay([&] {
    gateway.Core().TakeTold(routing::QuarantineUpdate{ .mFrom = 0, .mTo = 1 });
  });
  CHECK(upstream.Requests().empty());
  gateway.OnRelay([&] {
    gateway.Core().Take(rollout::RolloutUpdate{
      .mTerm = 1, .mSequence = 1, .mNumber = 1, .mServices = {} });
  });
  CHECK(StatusOf(caller.ReadAnswer()) == "HTTP/1.1 200");
  gateway.OnRelay([&] { gateway.Core().WakeStarting(); });
  CHECK(upstream.Requests().size() == 1);
}

TEST_CASE("ARequestThatHasWaitedLongEnoughIsToldWhenToComeBack")
{
  GatewayFixture gateway;
  gateway.OnRelay([&] {
    gateway.Core().mTable = nullptr;
    gateway.Core().mStartPlan =
      StartPlan({ .mWithin = std::chrono::seconds(60),
                  .mWaitMost = std::chrono::milliseconds(20) },
                gateway.Core().mNow());
  });
  Caller caller(gateway.Where());
  caller.Send(RequestText("safe", "r1"));
  const std::string answer = caller.ReadAnswer();
  CHECK(StatusOf(answer) == "HTTP/1.1 503");
  CHECK(answer.find("Retry-After: ") != std::string::npos);
}

} // namespace peridotspool::gateway
