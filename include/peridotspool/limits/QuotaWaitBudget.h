#pragma once

#include "peridotspool/base/Time.h"

#include <cstdint>
#include <optional>

namespace peridotspool::limits {

/** What bounds the time that one request may wait for its customer's limit. */
struct QuotaWaitBudget
{
  /** As set by the operator; 0 if requests don't wait. */
  Duration mMaxWait{ 0 };
  /** The latency objective; 0 if there is none. */
  Duration mObjective{ 0 };
  /** Time since the request arrived. */
  Duration mElapsed{ 0 };
  /** Time to the request's deadline. */
  Duration mTimeLeft{ 0 };
  /** Expected time to the first event, or to the answer of a plain call. Empty
   * if unknown: half of the objective is assumed. */
  std::optional<Duration> mExpectedTime;
};

/** Returns how long the request may wait and still be on time; 0 if it can't
 * usefully wait. */
std::uint32_t
MaxQuotaWaitMs(const QuotaWaitBudget& aBudget);

} // namespace peridotspool::limits
