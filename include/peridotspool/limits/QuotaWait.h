#pragma once

#include "peridotspool/base/Time.h"

#include <boost/describe/class.hpp>
#include <compare>
#include <cstdint>

namespace peridotspool::limits {

/** What an entry keeps of a request's time for the way to the leader and back,
 * and for a turn of each process's loop. */
constexpr Duration kQuotaTransitAllowance = std::chrono::milliseconds(20);

/** How a request may wait for units of its customer's limit. */
struct QuotaWait
{
  /** 0 is the highest. */
  std::uint32_t mPriority = 0;
  /** The leader grants no units after this time. The entry takes them for
   * kQuotaTransitAllowance longer. */
  std::uint32_t mMaxWaitMs = 0;

  auto operator<=>(const QuotaWait&) const = default;
};
BOOST_DESCRIBE_STRUCT(QuotaWait, (), (mPriority, mMaxWaitMs))

} // namespace peridotspool::limits
