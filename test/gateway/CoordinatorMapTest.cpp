// ctest-labels: unit
#include "peridotspool/gateway/CoordinatorMap.h"

#include <catch2/catch.hpp>

#include <map>
#include <string>

namespace peridotspool::gateway {

namespace {

std::vector<Coordinator>
MakeCoordinators(int aDomains, int aEach)
{
  std::vector<Coordinator> coordinators;
  for (int domain = 0; domain < aDomains; ++domain) {
    for (int i = 0; i < aEach; ++i) {
      coordinators.push_back(
        { .mAddress = { "10." + std::to_string(domain) + ".0." +
                          std::to_string(i),
                        7000 },
          .mDomain = FailureDomain("d" + std::to_string(domain)) });
    }
  }
  return coordinators;
}

UpstreamName
Upstream(int aNumber)
{
  return UpstreamName("u" + std::to_string(aNumber));
}

} // namespace

TEST_CASE("CoordinatorIsInTheUpstreamsFailureDomainIfPossible")
{
  CoordinatorMap map;
  CHECK_FALSE(map.CoordinatorOf(Upstream(1), FailureDomain("d1")));
  map.Set(MakeCoordinators(3, 4));
  for (int i = 0; i < 100; ++i) {
    const auto coordinator =
      map.CoordinatorOf(Upstream(i), FailureDomain("d1"));
    REQUIRE(coordinator);
    CHECK(coordinator->mHost.rfind("10.1.", 0) == 0);
    CHECK(map.CoordinatorOf(Upstream(i), FailureDomain("elsewhere")));
  }
}

TEST_CASE("UpstreamsAreSpreadAndOnlyThoseOfARemovedEntryMove")
{
  CoordinatorMap before;
  auto coordinators = MakeCoordinators(1, 50);
  before.Set(coordinators);
  coordinators.pop_back();
  CoordinatorMap after;
  after.Set(coordinators);
  const FailureDomain domain("d0");
  std::map<Address, int> each;
  int moved = 0;
  for (int i = 0; i < 1000; ++i) {
    const Address was = *before.CoordinatorOf(Upstream(i), domain);
    ++each[was];
    moved += was == *after.CoordinatorOf(Upstream(i), domain) ? 0 : 1;
  }
  CHECK(each.size() == 50);
  for (const auto& [coordinator, count] : each) {
    CHECK(count < 60);
  }
  CHECK(moved == each[Address{ "10.0.0.49", 7000 }]);
}

} // namespace peridotspool::gateway
