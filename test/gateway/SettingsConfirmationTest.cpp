// ctest-labels: promise-config
#include "peridotspool/gateway/SettingsConfirmation.h"
#include "gateway/GatewayFixture.h"

#include <catch2/catch.hpp>

#include <utility>

namespace peridotspool::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{ seconds(100) };
constexpr SettingsConfirmationOptions kOptions{ .mMaxAge = seconds(2),
                                                .mMaxWait = milliseconds(250) };

/** Has a table that was confirmed longer ago than allowed, or never. */
void
MakeStale(GatewayFixture& aGateway, Duration aMaxWait = seconds(30))
{
  aGateway.OnRelay([&] {
    aGateway.Core().mSettingsConfirmation =
      SettingsConfirmation({ .mMaxAge = seconds(2), .mMaxWait = aMaxWait });
    aGateway.Core().mSettingsConfirmation.Record(aGateway.Core().mNow() -
                                                 seconds(3));
  });
}

/** Returns a table with a route "added", to which any key or none is good. */
std::shared_ptr<const RouteTable>
TableWithAddedRoute(const RouteTable& aBefore)
{
  RouteTableSource source = aBefore.Source();
  ++source.mVersion;
  Route route = source.mRoutes.front();
  route.mName = "added";
  route.mPrefix = "/added/";
  source.mRoutes.push_back(std::move(route));
  source.mCustomers.clear();
  LastReason reason;
  return std::make_shared<const RouteTable>(
    *RouteTable::Make(std::move(source), reason));
}

} // namespace

TEST_CASE("SettingsAreFreshUntilTheirConfirmationIsTooOld")
{
  SettingsConfirmation confirmation(kOptions);
  CHECK_FALSE(confirmation.IsFresh(kStart));
  CHECK_FALSE(confirmation.Age(kStart));
  confirmation.Record(kStart);
  // A new session knows nothing yet; an old answer comes late.
  confirmation.Record(std::nullopt);
  confirmation.Record(kStart - seconds(1));
  CHECK(confirmation.Age(kStart + seconds(1)) == Duration(seconds(1)));
  CHECK(confirmation.IsFresh(kStart + seconds(2) - Duration(1)));
  CHECK_FALSE(confirmation.IsFresh(kStart + seconds(2)));
}

TEST_CASE("ARefusalWaitsForAConfirmationOnlyAsLongAsItMay")
{
  SettingsConfirmation confirmation(kOptions);
  CHECK(confirmation.Judge(kStart, kStart) == RefusalVerdict::kConfirm);
  CHECK(confirmation.Judge(kStart, kStart + milliseconds(249)) ==
        RefusalVerdict::kConfirm);
  CHECK(confirmation.Judge(kStart, kStart + milliseconds(250)) ==
        RefusalVerdict::kUnavailable);
  confirmation.Record(kStart + milliseconds(100));
  CHECK(confirmation.Judge(kStart, kStart + milliseconds(250)) ==
        RefusalVerdict::kRefuse);
}

// Guards against final refusals of requests that an acknowledged change allows.
TEST_CASE("OutdatedSettingsRefuseNothingForGood")
{
  GatewayFixture gateway;
  MakeStale(gateway, milliseconds(20));
  bool asked = false;
  gateway.OnRelay(
    [&] { gateway.Core().mConfirmSettings = [&] { asked = true; }; });
  Caller caller(gateway.Where());
  caller.Send(RequestText("added", "r1"));
  const std::string answer = caller.ReadAnswer();
  CHECK(StatusOf(answer) == "HTTP/1.1 503");
  CHECK(answer.find("Retry-After: ") != std::string::npos);
  CHECK(asked);
}

TEST_CASE("ARequestForAnAddedRouteIsServedOnceTheSettingsHaveCome")
{
  ScriptedUpstream upstream([](const std::string&) {
    return Script{ .mAnswer = WholeAnswer("served") };
  });
  GatewayFixture gateway;
  gateway.Add("u", upstream.Where());
  MakeStale(gateway);
  Caller caller(gateway.Where());
  caller.Send(RequestText("added", "r1"));
  REQUIRE(Eventually([&] { return gateway.Exchanges() == 1; }));
  gateway.OnRelay([&] { gateway.Core().ResumeStartupWaiters(); });
  CHECK_FALSE(caller.HasData());
  gateway.OnRelay([&] {
    gateway.Core().mTable = TableWithAddedRoute(*gateway.Core().mTable);
    gateway.Core().ResumeStartupWaiters();
  });
  CHECK(StatusOf(caller.ReadAnswer()) == "HTTP/1.1 200");
}

TEST_CASE("AConfirmationLetsAWaitingRefusalGo")
{
  GatewayFixture gateway;
  MakeStale(gateway);
  Caller caller(gateway.Where());
  caller.Send(RequestText("added", "r1"));
  REQUIRE(Eventually([&] { return gateway.Exchanges() == 1; }));
  gateway.OnRelay([&] {
    GatewayCore& core = gateway.Core();
    core.mSettingsConfirmation.Record(core.mNow());
    core.ResumeStartupWaiters();
  });
  CHECK(StatusOf(caller.ReadAnswer()) == "HTTP/1.1 404");
}

// Guards against final refusals of keys that an acknowledged change added.
TEST_CASE("OutdatedSettingsRefuseNoKeyForGood")
{
  GatewayFixture gateway;
  gateway.OnRelay([&] {
    RouteTableSource source = gateway.Core().mTable->Source();
    source.mCustomers = { { .mName = CustomerName("c"), .mKeys = { "key" } } };
    for (Route& route : source.mRoutes) {
      route.mPublic = false;
    }
    LastReason reason;
    gateway.Core().mTable = std::make_shared<const RouteTable>(
      *RouteTable::Make(std::move(source), reason));
  });
  MakeStale(gateway, milliseconds(20));
  Caller caller(gateway.Where());
  caller.Send(RequestText("safe", "r1"));
  CHECK(StatusOf(caller.ReadAnswer()) == "HTTP/1.1 503");
  gateway.OnRelay([&] {
    gateway.Core().mSettingsConfirmation.Record(gateway.Core().mNow());
  });
  Caller known(gateway.Where());
  known.Send(RequestText("safe", "r2"));
  CHECK(StatusOf(known.ReadAnswer()) == "HTTP/1.1 401");
}

// Guards against final refusals by bounds that an acknowledged change raised.
TEST_CASE("OutdatedBoundsRefuseNothingForGood")
{
  GatewayFixture gateway;
  const std::string large(20000, 'x');
  MakeStale(gateway);
  Caller stale(gateway.Where());
  stale.Send(RequestText("safe", "r1", large));
  const std::string answer = stale.ReadAnswer();
  CHECK(StatusOf(answer) == "HTTP/1.1 503");
  CHECK(answer.find("Retry-After: ") != std::string::npos);
  gateway.OnRelay([&] {
    gateway.Core().mSettingsConfirmation.Record(gateway.Core().mNow());
  });
  Caller fresh(gateway.Where());
  fresh.Send(RequestText("safe", "r2", large));
  CHECK(StatusOf(fresh.ReadAnswer()) == "HTTP/1.1 413");
}

} // namespace peridotspool::gateway
