#pragma once

#include "peridotspool/base/Ids.h"

#include <boost/describe/class.hpp>
#include <compare>
#include <cstdint>
#include <map>

namespace peridotspool::gateway {

/**
 * How far the leader may let customers' balances fall, as committed in the
 * control log. A customer that isn't listed has the floor that is implied by
 * its limit (QuotaAllocator).
 */
struct QuotaFloors
{
  /** Rises with each change. */
  std::uint64_t mNumber = 0;
  std::map<CustomerName, std::uint64_t> mUnits;

  auto operator<=>(const QuotaFloors&) const = default;
};
BOOST_DESCRIBE_STRUCT(QuotaFloors, (), (mNumber, mUnits))

} // namespace peridotspool::gateway
