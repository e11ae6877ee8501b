// ctest-labels: unit
#include "peridotspool/base/RequestKey.h"

#include <catch2/catch.hpp>

namespace peridotspool {

TEST_CASE("KeysOfDifferentCustomersAreDifferentRequests")
{
  const RequestKey mine{ CustomerName("lefkada"), "plan-7" };
  const RequestKey other{ CustomerName("kilimanjaro"), "plan-7" };
  CHECK(mine != other);
}

TEST_CASE("ShardIsWithinBoundsAndStable")
{
  const RequestKey key{ CustomerName("lefkada"), "plan-7" };
  const ShardId shard = ShardOf(key);
  CHECK(shard.Value() < kShardCount);
  CHECK(shard == ShardOf(key));
}

} // namespace peridotspool
