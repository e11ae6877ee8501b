// ctest-labels: unit
#include "peridotspool/gateway/PendingLoadQueries.h"

#include <catch2/catch.hpp>

namespace peridotspool::gateway {

namespace {

const FailureDomain kDomain("a");
const FailureDomain kOther("b");

} // namespace

TEST_CASE("OneQueryPerCoordinatorCoversAllItsUpstreams")
{
  CoordinatorMap coordinators;
  coordinators.Set({ { .mAddress = { "10.0.0.1", 7 }, .mDomain = kDomain },
                     { .mAddress = { "10.0.0.2", 7 }, .mDomain = kOther } });
  PendingLoadQueries pending;
  const LoadQuerySet querySet =
    pending.Begin({ { UpstreamName("u1"), kDomain },
                    { UpstreamName("u2"), kOther },
                    { UpstreamName("u3"), kDomain } },
                  { { .mId = 1, .mTokens = 10 } },
                  coordinators);
  REQUIRE(querySet.mQueries.size() == 2);
  CHECK(querySet.mQueries[0].mQuery.mUpstreams ==
        std::vector<UpstreamName>{ UpstreamName("u1"), UpstreamName("u3") });
  CHECK(querySet.mQueries[0].mQuery.mParts.size() == 1);
  CHECK_FALSE(pending.HandleResponse({ .mTag = querySet.mTag, .mLoads = {} }));
  CHECK(pending.HandleResponse({ .mTag = querySet.mTag, .mLoads = {} }));
  CHECK(pending.PendingCount() == 0);
}

// A request must not continue twice, and memory must not grow with each lost
// response. The coordinator is frozen; the request continues without its
// response, which arrives seconds later.
TEST_CASE("AResponseToACancelledQueryIsIgnored")
{
  CoordinatorMap coordinators;
  PendingLoadQueries pending;
  CHECK(pending.Begin({ { UpstreamName("u1"), kDomain } }, {}, coordinators)
          .mQueries.empty());
  CHECK(pending.PendingCount() == 0);
  coordinators.Set({ { .mAddress = { "10.0.0.1", 7 }, .mDomain = kDomain } });
  const LoadQuerySet querySet =
    pending.Begin({ { UpstreamName("u1"), kDomain } }, {}, coordinators);
  pending.Cancel(querySet.mTag);
  CHECK_FALSE(pending.HandleResponse({ .mTag = querySet.mTag, .mLoads = {} }));
  CHECK(pending.PendingCount() == 0);
}

} // namespace peridotspool::gateway
