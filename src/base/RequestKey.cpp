#include "peridotspool/base/RequestKey.h"

#include <xxhash.h>

namespace peridotspool {

ShardId
ShardOf(const RequestKey& aKey)
{
  const std::string& customer = aKey.mCustomer.Value();
  const std::uint64_t seed = XXH3_64bits(customer.data(), customer.size());
  const std::uint64_t hash =
    XXH3_64bits_withSeed(aKey.mKey.data(), aKey.mKey.size(), seed);
  return ShardId(hash % kShardCount);
}

} // namespace peridotspool
