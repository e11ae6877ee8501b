// ctest-labels: unit
#include "peridotspool/gateway/PrefetchedQuota.h"

#include <catch2/catch.hpp>

namespace peridotspool::gateway {

namespace {

TimePoint
At(int aMs)
{
  return TimePoint(std::chrono::seconds(50) + std::chrono::milliseconds(aMs));
}

} // namespace

TEST_CASE("PrefetchedUnitsAreTakenInFullOrNotAtAll")
{
  PrefetchedQuota quota;
  CHECK_FALSE(quota.TryTake(1, At(0)).has_value());
  quota.Add(10, At(100));
  quota.Add(10, At(50));
  CHECK_FALSE(quota.TryTake(21, At(0)).has_value());
  CHECK(quota.TryTake(15, At(0)) == At(50));
  CHECK(quota.TryTake(5, At(0)) == At(100));
  CHECK_FALSE(quota.TryTake(1, At(0)).has_value());
}

TEST_CASE("PrefetchedUnitsExpire")
{
  PrefetchedQuota quota;
  quota.Add(10, At(50));
  quota.Add(10, At(100));
  CHECK_FALSE(quota.TryTake(11, At(50)).has_value());
  CHECK(quota.TryTake(10, At(50)) == At(100));
  CHECK_FALSE(quota.TryTake(1, At(100)).has_value());
}

} // namespace peridotspool::gateway
