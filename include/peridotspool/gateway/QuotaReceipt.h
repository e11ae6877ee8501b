#pragma once

#include "peridotspool/base/Time.h"

#include <boost/describe/enum.hpp>
#include <compare>
#include <cstdint>

namespace peridotspool::gateway {

/** Where a request's units were taken from; written to logs by these names. */
enum class QuotaSource
{
  /** The customer has no limit, or no decision was made. */
  kNone,
  kLeader,
  /** Granted by the leader in advance; see PrefetchedQuota. */
  kStock,
  /** The entry's fallback share, used while it has no lease. */
  kOwnPart,
};
BOOST_DESCRIBE_ENUM(QuotaSource, kNone, kLeader, kStock, kOwnPart)

/** The source of a request's units; needed to return them. */
struct QuotaReceipt
{
  QuotaSource mSource = QuotaSource::kNone;
  /** Set with kLeader, as in the leader's response. */
  std::uint64_t mAllocatorId = 0;
  std::int64_t mGrantedAt = 0;
  /** Set with kStock. */
  TimePoint mExpiresAt;

  auto operator<=>(const QuotaReceipt&) const = default;
};

} // namespace peridotspool::gateway
