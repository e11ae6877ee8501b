// ctest-labels: promise-refusal-did-not-run
#include "gateway/GatewayFixture.h"

#include <catch2/catch.hpp>

#include <utility>

namespace peridotspool::gateway {

// Guards against refusals after a restart of all processes. Requests come
// before settings and upstreams are known; if they were refused, they would be
// retried a second later and be late.
//
// Requests also wait for the list of quarantined contents; otherwise each
// restarted entry would send a crashing request once more. They wait for the
// list of rollouts, without which any version could get requests.
TEST_CASE("ARequestAtAStartingEntryWaitsForItsInitialState")
{
  ScriptedUpstream upstream([](const std::string&) {
    return Script{ .mAnswer = WholeAnswer("later") };
  });
  GatewayFixture gateway;
  std::shared_ptr<const RouteTable> table;
  gateway.OnRelay([&] {
    table = std::exchange(gateway.Core().mTable, nullptr);
    gateway.Core().mStartupPolicy =
      StartupPolicy({ .mStartupPeriod = std::chrono::seconds(60),
                      .mMaxWait = std::chrono::seconds(30) },
                    gateway.Core().mNow());
  });
  Caller caller(gateway.Where());
  caller.Send(RequestText("safe", "r1"));
  REQUIRE(Eventually([&] { return gateway.Exchanges() == 1; }));
  gateway.OnRelay([&] {
    gateway.Core().mTable = table;
    gateway.Core().ResumeStartupWaiters();
    // Nothing new has been received, so the request keeps waiting.
    gateway.Core().ResumeStartupWaiters();
  });
  CHECK(upstream.Requests().empty());
  gateway.Add("u1", upstream.Where());
  gateway.OnRelay([&] {
    // One of two replicas has sent its upstreams.
    gateway.Core().mStartupPolicy.RecordUpdates(1, 2, gateway.Core().mNow());
    gateway.Core().ResumeStartupWaiters();
  });
  CHECK(upstream.Requests().empty());
  gateway.OnRelay([&] {
    gateway.Core().mStartupPolicy.RecordUpdates(2, 2, gateway.Core().mNow());
    gateway.Core().ResumeStartupWaiters();
  });
  CHECK(upstream.Requests().empty());
  gateway.OnRelay([&] {
    gateway.Core().HandleQuarantineUpdate(
      routing::QuarantineUpdate{ .mFrom = 0, .mTo = 1 });
  });
  CHECK(upstream.Requests().empty());
  gateway.OnRelay([&] {
    gateway.Core().HandleRolloutUpdate(rollout::RolloutUpdate{
      .mTerm = 1, .mSequence = 1, .mNumber = 1, .mServices = {} });
  });
  CHECK(StatusOf(caller.ReadAnswer()) == "HTTP/1.1 200");
  gateway.OnRelay([&] { gateway.Core().ResumeStartupWaiters(); });
  CHECK(upstream.Requests().size() == 1);
}

// Guards against a request that waits in a stopping entry, is sent late and
// ends with the process.
TEST_CASE("AStoppingEntryRefusesTheRequestsThatWait")
{
  GatewayFixture gateway;
  gateway.OnRelay([&] {
    gateway.Core().mTable = nullptr;
    gateway.Core().mStartupPolicy =
      StartupPolicy({ .mStartupPeriod = std::chrono::seconds(60),
                      .mMaxWait = std::chrono::seconds(30) },
                    gateway.Core().mNow());
  });
  Caller caller(gateway.Where());
  caller.Send(RequestText("once", "r1"));
  REQUIRE(Eventually([&] { return gateway.Exchanges() == 1; }));
  gateway.RefuseUnsent();
  const std::string answer = caller.ReadAnswer();
  CHECK(StatusOf(answer) == "HTTP/1.1 503");
  CHECK(answer.find("Retry-After: ") != std::string::npos);
}

TEST_CASE("AnEndingEntryAnswersWhatItHasPassedOn")
{
  ScriptedUpstream upstream(
    [](const std::string&) { return Script{ .mThen = Script::Then::kHang }; });
  GatewayFixture gateway;
  gateway.Add("u", upstream.Where());
  Caller caller(gateway.Where());
  caller.Send(RequestText("once", "r1"));
  REQUIRE(Eventually([&] { return upstream.Requests().size() == 1; }));
  gateway.RefuseUnsent();
  CHECK_FALSE(caller.HasData());
  gateway.AnswerUnfinished();
  CHECK(StatusOf(caller.ReadAnswer()) == "HTTP/1.1 502");
}

TEST_CASE("ARequestThatTimesOutDuringStartupGetsRetryAfter")
{
  GatewayFixture gateway;
  gateway.OnRelay([&] {
    gateway.Core().mTable = nullptr;
    gateway.Core().mStartupPolicy =
      StartupPolicy({ .mStartupPeriod = std::chrono::seconds(60),
                      .mMaxWait = std::chrono::milliseconds(20) },
                    gateway.Core().mNow());
  });
  Caller caller(gateway.Where());
  caller.Send(RequestText("safe", "r1"));
  const std::string answer = caller.ReadAnswer();
  CHECK(StatusOf(answer) == "HTTP/1.1 503");
  CHECK(answer.find("Retry-After: ") != std::string::npos);
}

} // namespace peridotspool::gateway
