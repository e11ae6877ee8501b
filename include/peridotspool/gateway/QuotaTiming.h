#pragma once

#include "peridotspool/base/Time.h"

namespace peridotspool::gateway {

/** From when an entry takes a lease, it uses no own part for this long. */
constexpr Duration kQuotaLeaseLength = std::chrono::seconds(1);
/** An entry saves up its own part of a limit for this long, at most. */
constexpr Duration kMaxFallbackAccrual = std::chrono::seconds(1);
/** An entry that no leader answers uses its own part for this long, at most. */
constexpr Duration kFallbackDuration = std::chrono::seconds(20);
/** Stock lapses this long after it was asked for. */
constexpr Duration kPrefetchLifetime = std::chrono::seconds(2);

/** Returns aDuration in seconds. */
inline double
ToSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace peridotspool::gateway
