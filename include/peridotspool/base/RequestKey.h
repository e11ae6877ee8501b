#pragma once

#include "peridotspool/base/Ids.h"

#include <boost/describe/class.hpp>
#include <compare>
#include <string>

namespace peridotspool {

/**
 * Names one request: the caller's Idempotency-Key within its customer. The
 * customer is part of it, so that nobody reads another customer's answer by
 * guessing a key.
 */
struct RequestKey
{
  CustomerName mCustomer;
  std::string mKey;

  auto operator<=>(const RequestKey&) const = default;
};
BOOST_DESCRIBE_STRUCT(RequestKey, (), (mCustomer, mKey))

/** How many parts the request ledger is cut into; fixed for a system's life. */
inline constexpr std::uint64_t kShardCount = 256;

/** Returns the shard of a request: the same on every process. */
ShardId
ShardOf(const RequestKey& aKey);

} // namespace peridotspool

template<>
struct std::hash<peridotspool::RequestKey>
{
  std::size_t operator()(const peridotspool::RequestKey& aKey) const noexcept
  {
    return std::hash<std::string>{}(aKey.mKey) * 31 +
           std::hash<std::string>{}(aKey.mCustomer.Value());
  }
};
