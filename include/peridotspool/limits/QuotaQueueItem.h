#pragma once

#include "peridotspool/base/Address.h"
#include "peridotspool/base/Time.h"

#include <cstdint>

namespace peridotspool::limits {

/** A request that waits for units of its customer's limit. */
struct QuotaQueueItem
{
  /** The entry that asked, and its tag of the request. */
  Address mFrom;
  std::uint64_t mTag = 0;
  double mUnits = 0.0;
  /** 0 is the highest. */
  std::uint32_t mPriority = 0;
  /** Units are of no use after this time. */
  TimePoint mLatestStart;
};

} // namespace peridotspool::limits
