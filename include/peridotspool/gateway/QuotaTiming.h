#pragma once

#include "peridotspool/base/Time.h"

#include <cstddef>

namespace peridotspool::gateway {

/** An entry uses no fallback share for this long after it receives a lease. */
constexpr Duration kQuotaLeaseLength = std::chrono::seconds(1);
/** Bounds the time for which an entry accrues unused fallback units. */
constexpr Duration kMaxFallbackAccrual = std::chrono::seconds(1);
/** Bounds how long an entry uses its fallback share after a lease expired. */
constexpr Duration kFallbackDuration = std::chrono::seconds(20);
/** Prefetched units expire this long after they were requested. */
constexpr Duration kPrefetchLifetime = std::chrono::seconds(2);
/** How long the leader defers an item for a lower floor, or for entries to
 * confirm a new leader's leases. Shorter than the entries' response timeout. */
constexpr Duration kQuotaDeferTimeout = std::chrono::milliseconds(300);
/** How long a request waits for any response of the leader before the entry
 * decides itself. */
constexpr Duration kQuotaResponseTimeout = std::chrono::milliseconds(800);
/** Items of one entry that wait for the leader's decision. */
constexpr std::size_t kMaxPendingItems = 4096;

inline double
ToSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace peridotspool::gateway
