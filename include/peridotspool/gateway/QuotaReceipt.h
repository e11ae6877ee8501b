#pragma once

#include "peridotspool/base/Time.h"

#include <boost/describe/enum.hpp>
#include <compare>
#include <cstdint>

namespace peridotspool::gateway {

/** Whose rights a request's units were taken from. */
enum class QuotaSource
{
  /** The customer has no limit, or nobody has decided. */
  kNone,
  kLeader,
  /** Granted by the leader before the request came. */
  kStock,
  /** The entry's own part, while no leader answers. */
  kOwnPart,
};
BOOST_DESCRIBE_ENUM(QuotaSource, kNone, kLeader, kStock, kOwnPart)

/** Where a request's units came from; given back with them. */
struct QuotaReceipt
{
  QuotaSource mSource = QuotaSource::kNone;
  /** With kLeader, as in its grant. */
  std::uint64_t mAllocatorId = 0;
  std::int64_t mGrantedAt = 0;
  /** With kStock. */
  TimePoint mExpiresAt;

  auto operator<=>(const QuotaReceipt&) const = default;
};

} // namespace peridotspool::gateway
