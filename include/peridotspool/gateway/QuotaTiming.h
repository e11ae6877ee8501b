#pragma once

#include "peridotspool/base/Time.h"

namespace peridotspool::gateway {

/** An entry uses no fallback share for this long after it receives a lease. */
constexpr Duration kQuotaLeaseLength = std::chrono::seconds(1);
/** Bounds the time for which an entry accrues unused fallback units. */
constexpr Duration kMaxFallbackAccrual = std::chrono::seconds(1);
/** Bounds how long an entry uses its fallback share after a lease expired. */
constexpr Duration kFallbackDuration = std::chrono::seconds(20);
/** Prefetched units expire this long after they were requested. */
constexpr Duration kPrefetchLifetime = std::chrono::seconds(2);

inline double
ToSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace peridotspool::gateway
