#pragma once

#include "peridotspool/base/Time.h"

#include <cstdint>

namespace peridotspool::routing {

/** When an upstream that fails or is slow gets no work for a while. */
struct EjectionOptions
{
  /** Failures in a row that eject. */
  std::uint32_t mFailuresInRow = 3;
  /** Ended requests before an upstream can count as slow. */
  std::uint32_t mSlowSamples = 8;
  /** How many times slower than its service's mean counts as slow. */
  double mSlowFactor = 5;
  /** The first ejection's time; doubles with each that follows soon. */
  Duration mInitialTime = std::chrono::seconds(2);
  Duration mMaxTime = std::chrono::seconds(60);
  /** Without an ejection for this long the time starts from mInitialTime again.
   */
  Duration mResetAfter = std::chrono::minutes(5);
  /** At most this share of a service's upstreams is ejected at once. */
  double mMaxShare = 0.3;
};

} // namespace peridotspool::routing
