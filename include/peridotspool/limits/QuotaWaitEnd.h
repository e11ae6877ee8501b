#pragma once

#include <boost/describe/enum.hpp>

namespace peridotspool::limits {

/** Who decided on a request that could wait for its customer's limit; written
 * to logs by these names. */
enum class QuotaWaitEnd
{
  kLeader,
  /** The entry's fallback share, as there was no leader. */
  kFallback,
  /** The entry, as the latest start passed without a decision. */
  kLatestStart,
  /** The entry, as it is about to stop. */
  kStopping,
};
BOOST_DESCRIBE_ENUM(QuotaWaitEnd, kLeader, kFallback, kLatestStart, kStopping)

} // namespace peridotspool::limits
