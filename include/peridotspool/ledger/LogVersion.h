#pragma once

#include "peridotspool/base/Ids.h"

#include <boost/describe/class.hpp>
#include <compare>

namespace peridotspool::ledger {

/**
 * Identifies one entry of a shard's log. The primary of an interval assigns
 * each sequence number to one operation only, so equal versions mean equal
 * histories.
 */
struct LogVersion
{
  EpochNumber mInterval;
  SequenceNumber mSequence;

  auto operator<=>(const LogVersion&) const = default;
};
BOOST_DESCRIBE_STRUCT(LogVersion, (), (mInterval, mSequence))

} // namespace peridotspool::ledger
