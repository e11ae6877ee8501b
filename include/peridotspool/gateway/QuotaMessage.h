#pragma once

#include "peridotspool/base/Ids.h"
#include "peridotspool/limits/QuotaWait.h"

#include <boost/describe/class.hpp>
#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

namespace peridotspool::gateway {

/** Units that an entry requests, for one caller's request or to prefetch. */
struct QuotaRequestItem
{
  CustomerName mCustomer;
  std::uint64_t mUnits = 0;
  /** Identifies this item; chosen by the entry. */
  std::uint64_t mTag = 0;
  /** Set if the units are prefetched for later requests. */
  bool mIsPrefetch = false;
  /** Set if the request may wait for the units. */
  std::optional<limits::QuotaWait> mWait;

  auto operator<=>(const QuotaRequestItem&) const = default;
};
BOOST_DESCRIBE_STRUCT(QuotaRequestItem,
                      (),
                      (mCustomer, mUnits, mTag, mIsPrefetch, mWait))

/** Granted units that an entry returns unused. */
struct QuotaReturn
{
  /** As in the grant; any other leader ignores the return. */
  std::uint64_t mAllocatorId = 0;
  std::int64_t mGrantedAt = 0;
  CustomerName mCustomer;
  std::uint64_t mUnits = 0;

  auto operator<=>(const QuotaReturn&) const = default;
};
BOOST_DESCRIBE_STRUCT(QuotaReturn,
                      (),
                      (mAllocatorId, mGrantedAt, mCustomer, mUnits))

/** From an entry to the control leader. */
struct QuotaRequest
{
  std::vector<QuotaRequestItem> mItems;
  std::vector<QuotaReturn> mReturns;
  /** Tags of items that nobody waits for any more. */
  std::vector<std::uint64_t> mCancelled;

  auto operator<=>(const QuotaRequest&) const = default;
};
BOOST_DESCRIBE_STRUCT(QuotaRequest, (), (mItems, mReturns, mCancelled))

/** The leader's decision on one item. */
struct QuotaResponseItem
{
  QuotaRequestItem mItem;
  bool mGranted = false;
  /** When as many units are expected to be available; 0 if granted. */
  std::uint32_t mRetryAfterMs = 0;
  /** Set if the item is queued: when it is expected to be granted. A final
   * decision follows. */
  std::optional<std::uint32_t> mQueuedForMs;

  auto operator<=>(const QuotaResponseItem&) const = default;
};
BOOST_DESCRIBE_STRUCT(QuotaResponseItem,
                      (),
                      (mItem, mGranted, mRetryAfterMs, mQueuedForMs))

/** From the control leader to an entry. */
struct QuotaResponse
{
  std::vector<QuotaResponseItem> mResults;
  /** Identifies the leadership that granted the units. */
  std::uint64_t mAllocatorId = 0;
  /** By the leader's monotonic clock; only echoed in QuotaReturn. */
  std::int64_t mGrantedAt = 0;

  auto operator<=>(const QuotaResponse&) const = default;
};
BOOST_DESCRIBE_STRUCT(QuotaResponse, (), (mResults, mAllocatorId, mGrantedAt))

/**
 * Prevents an entry from using its fallback share of the limits for
 * kQuotaLeaseLength after it receives the lease. The entry's next report
 * confirms the lease.
 */
struct QuotaLease
{
  std::uint64_t mAllocatorId = 0;
  /** The leader's term. */
  std::uint64_t mTerm = 0;
  /** Increases with each lease of a leader; 0 means no lease. */
  std::uint64_t mNumber = 0;
  /** The entry's fallback share is 1 / mFallbackDivisor of each limit. */
  std::uint32_t mFallbackDivisor = 0;

  auto operator<=>(const QuotaLease&) const = default;
};
BOOST_DESCRIBE_STRUCT(QuotaLease,
                      (),
                      (mAllocatorId, mTerm, mNumber, mFallbackDivisor))

} // namespace peridotspool::gateway
