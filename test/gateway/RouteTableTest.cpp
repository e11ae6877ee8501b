// ctest-labels: unit
#include "peridotspool/gateway/RouteTable.h"

#include <catch2/catch.hpp>

namespace peridotspool::gateway {

namespace {

Route
MakeRoute(const char* aName, const char* aHost, const char* aPrefix)
{
  return Route{ .mName = aName,
                .mHost = aHost,
                .mPrefix = aPrefix,
                .mShares = { { ServiceName("s"), 1 } },
                .mTimeout = std::chrono::seconds(1) };
}

RouteTableSource
MakeSource()
{
  RouteTableSource source;
  source.mVersion = 7;
  source.mServices = { ServiceProfile{ .mName = ServiceName("s") } };
  source.mRoutes = { MakeRoute("short", "One.example", "/a/"),
                     MakeRoute("long", "one.example", "/a/b/"),
                     MakeRoute("other", "two.example", "/") };
  source.mCustomers = {
    Customer{ .mName = CustomerName("x"), .mKeys = { "kx1", "kx2" } },
    Customer{ .mName = CustomerName("y"), .mKeys = { "ky" } }
  };
  return source;
}

std::string
FaultOf(RouteTableSource aSource)
{
  LastReason reason;
  return RouteTable::Make(std::move(aSource), reason) ? "" : reason.Text();
}

std::string
NameOf(const Route* aRoute)
{
  return aRoute == nullptr ? "none" : aRoute->mName;
}

} // namespace

TEST_CASE("RouteTableFindsTheLongestPrefixOfTheHost")
{
  LastReason reason;
  const auto table = RouteTable::Make(MakeSource(), reason);
  REQUIRE(table);
  CHECK(NameOf(table->Find("one.example", "/a/x")) == "short");
  CHECK(NameOf(table->Find("ONE.example:8080", "/a/b/x")) == "long");
  CHECK(NameOf(table->Find("one.example", "/a")) == "none");
  CHECK(NameOf(table->Find("one.example", "/ab/")) == "none");
  CHECK(NameOf(table->Find("two.example", "/anything")) == "other");
  CHECK(NameOf(table->Find("three.example", "/a/")) == "none");
}

TEST_CASE("RouteTableFindsTheCustomerOfEachKey")
{
  LastReason reason;
  const auto table = RouteTable::Make(MakeSource(), reason);
  REQUIRE(table);
  REQUIRE(table->CustomerOf("kx2") != nullptr);
  CHECK(table->CustomerOf("kx2")->mName == CustomerName("x"));
  CHECK(table->CustomerOf("unknown") == nullptr);
  CHECK(table->CustomerOf("") == nullptr);
}

TEST_CASE("RouteTableRejectsInvalidConfigurationsWithTheReason")
{
  RouteTableSource source = MakeSource();
  CHECK(FaultOf(source).empty());

  source.mRoutes[0].mTimeout = Duration(0);
  CHECK(FaultOf(source) == "route short: the timeout is 0");

  source = MakeSource();
  source.mRoutes[1].mShares = { { ServiceName("nobody"), 1 } };
  CHECK(FaultOf(source) == "route long: unknown service nobody");

  source = MakeSource();
  source.mRoutes[1].mShares = { { ServiceName("s"), 0 } };
  CHECK(FaultOf(source) == "route long: the weights add up to 0");

  source = MakeSource();
  source.mRoutes[1].mPrefix = "/a/";
  CHECK(FaultOf(source) == "two routes share host one.example and prefix /a/");

  source = MakeSource();
  source.mCustomers[1].mKeys.push_back("kx1");
  CHECK(FaultOf(source) == "customers x and y share a key");

  source = MakeSource();
  source.mRoutes[2].mPrefix = "no-slash";
  CHECK_FALSE(FaultOf(source).empty());
}

} // namespace peridotspool::gateway
