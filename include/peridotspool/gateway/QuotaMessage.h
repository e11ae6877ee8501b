#pragma once

#include "peridotspool/base/Ids.h"

#include <boost/describe/class.hpp>
#include <compare>
#include <cstdint>
#include <vector>

namespace peridotspool::gateway {

/** Units that an entry asks the leader for, for one request or for stock. */
struct QuotaRequestItem
{
  CustomerName mCustomer;
  std::uint64_t mUnits = 0;
  /** The entry's number of this line. */
  std::uint64_t mTag = 0;
  /** For no request in particular. */
  bool mIsPrefetch = false;

  auto operator<=>(const QuotaRequestItem&) const = default;
};
BOOST_DESCRIBE_STRUCT(QuotaRequestItem,
                      (),
                      (mCustomer, mUnits, mTag, mIsPrefetch))

/** Granted units that no request used. */
struct QuotaReturn
{
  /** Of the grant; another leader ignores the return. */
  std::uint64_t mAllocatorId = 0;
  std::int64_t mGrantedAt = 0;
  CustomerName mCustomer;
  std::uint64_t mUnits = 0;

  auto operator<=>(const QuotaReturn&) const = default;
};
BOOST_DESCRIBE_STRUCT(QuotaReturn,
                      (),
                      (mAllocatorId, mGrantedAt, mCustomer, mUnits))

struct QuotaRequest
{
  std::vector<QuotaRequestItem> mItems;
  std::vector<QuotaReturn> mReturns;

  auto operator<=>(const QuotaRequest&) const = default;
};
BOOST_DESCRIBE_STRUCT(QuotaRequest, (), (mItems, mReturns))

struct QuotaResponseItem
{
  QuotaRequestItem mItem;
  bool mGranted = false;
  /** When so many units will be there again; 0 if granted. */
  std::uint32_t mRetryAfterMs = 0;

  auto operator<=>(const QuotaResponseItem&) const = default;
};
BOOST_DESCRIBE_STRUCT(QuotaResponseItem, (), (mItem, mGranted, mRetryAfterMs))

struct QuotaResponse
{
  std::vector<QuotaResponseItem> mResults;
  /** Names one leader's time in the lead. */
  std::uint64_t mAllocatorId = 0;
  /** By the grantor's own clock; for QuotaReturn only. */
  std::int64_t mGrantedAt = 0;

  auto operator<=>(const QuotaResponse&) const = default;
};
BOOST_DESCRIBE_STRUCT(QuotaResponse, (), (mResults, mAllocatorId, mGrantedAt))

/**
 * Keeps an entry from using its own part of the limits for kQuotaLeaseLength
 * from when it is taken. The entry's next report confirms it.
 */
struct QuotaLease
{
  std::uint64_t mAllocatorId = 0;
  /** The grantor's term as the leader. */
  std::uint64_t mTerm = 0;
  /** Rises with each lease of a grantor; 0 for none. */
  std::uint64_t mNumber = 0;
  /** The own part is one of so many. */
  std::uint32_t mFallbackDivisor = 0;

  auto operator<=>(const QuotaLease&) const = default;
};
BOOST_DESCRIBE_STRUCT(QuotaLease,
                      (),
                      (mAllocatorId, mTerm, mNumber, mFallbackDivisor))

} // namespace peridotspool::gateway
