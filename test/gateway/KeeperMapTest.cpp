// ctest-labels: unit
#include "peridotspool/gateway/KeeperMap.h"

#include <catch2/catch.hpp>

#include <map>
#include <string>

namespace peridotspool::gateway {

namespace {

std::vector<Keeper>
MakeKeepers(int aDomains, int aEach)
{
  std::vector<Keeper> keepers;
  for (int domain = 0; domain < aDomains; ++domain) {
    for (int i = 0; i < aEach; ++i) {
      keepers.push_back(
        { .mAddress = { "10." + std::to_string(domain) + ".0." +
                          std::to_string(i),
                        7000 },
          .mDomain = FailureDomain("d" + std::to_string(domain)) });
    }
  }
  return keepers;
}

UpstreamName
Upstream(int aNumber)
{
  return UpstreamName("u" + std::to_string(aNumber));
}

} // namespace

TEST_CASE("AKeeperIsOfTheUpstreamsOwnDomainIfThereIsOne")
{
  KeeperMap map;
  CHECK_FALSE(map.KeeperOf(Upstream(1), FailureDomain("d1")));
  map.Use(MakeKeepers(3, 4));
  for (int i = 0; i < 100; ++i) {
    const auto keeper = map.KeeperOf(Upstream(i), FailureDomain("d1"));
    REQUIRE(keeper);
    CHECK(keeper->mHost.rfind("10.1.", 0) == 0);
    CHECK(map.KeeperOf(Upstream(i), FailureDomain("elsewhere")));
  }
}

TEST_CASE("AccountsAreSpreadAndFewMoveWhenAnEntryGoes")
{
  KeeperMap before;
  auto keepers = MakeKeepers(1, 50);
  before.Use(keepers);
  keepers.pop_back();
  KeeperMap after;
  after.Use(keepers);
  const FailureDomain domain("d0");
  std::map<Address, int> each;
  int moved = 0;
  for (int i = 0; i < 1000; ++i) {
    const Address was = *before.KeeperOf(Upstream(i), domain);
    ++each[was];
    moved += was == *after.KeeperOf(Upstream(i), domain) ? 0 : 1;
  }
  CHECK(each.size() == 50);
  for (const auto& [keeper, count] : each) {
    CHECK(count < 60);
  }
  CHECK(moved == each[Address{ "10.0.0.49", 7000 }]);
}

} // namespace peridotspool::gateway
