#pragma once

#include "peridotspool/base/Ids.h"

#include <boost/describe/class.hpp>
#include <compare>
#include <cstdint>
#include <map>

namespace peridotspool::gateway {

/**
 * The balances below which the leader grants no units, by customer, as
 * committed in the control log. A customer that isn't listed has the default
 * floor of its limit; see QuotaAllocator.
 */
struct QuotaFloors
{
  /** Increases with each change. */
  std::uint64_t mNumber = 0;
  std::map<CustomerName, std::uint64_t> mUnits;

  auto operator<=>(const QuotaFloors&) const = default;
};
BOOST_DESCRIBE_STRUCT(QuotaFloors, (), (mNumber, mUnits))

} // namespace peridotspool::gateway
