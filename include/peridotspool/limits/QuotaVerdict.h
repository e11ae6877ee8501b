#pragma once

#include "peridotspool/base/Time.h"

#include <cstddef>

namespace peridotspool::limits {

/** Whether a request may wait for its customer's limit. */
enum class QuotaVerdictKind
{
  kQueued,
  /** The units can't be granted by the latest start. */
  kTooLate,
  /** The queue has as many items as it may have. */
  kFull,
  /** The account never holds that many units. */
  kTooLarge,
};

struct QuotaVerdict
{
  QuotaVerdictKind mKind = QuotaVerdictKind::kQueued;
  /** Set with kQueued: number of items that are granted before. */
  std::size_t mPosition = 0;
  /** Set with kQueued: when the units are expected to be available. */
  Duration mExpectedWait{ 0 };
  /** Set otherwise: when the same request would be queued, if no others came.
   */
  Duration mRetryAfter{ 0 };
};

} // namespace peridotspool::limits
