#pragma once

#include "peridotspool/base/Time.h"

#include <cstdint>

namespace peridotspool::routing {

/**
 * When an upstream that fails or is slow is ejected, that is, gets no requests
 * for a while.
 */
struct EjectionOptions
{
  /** Consecutive failures that cause an ejection. */
  std::uint32_t mFailuresInRow = 3;
  /** Consecutive slow requests that cause an ejection. */
  std::uint32_t mSlowSamples = 8;
  /** A request is slow if it takes this many times the mean of its service. */
  double mSlowFactor = 5;
  /**
   * Duration of the first ejection. It doubles with each further ejection
   * before mResetAfter has passed.
   */
  Duration mInitialTime = std::chrono::seconds(2);
  Duration mMaxTime = std::chrono::seconds(60);
  /**
   * Time without an ejection after which the duration is mInitialTime again.
   */
  Duration mResetAfter = std::chrono::minutes(5);
  /** Maximum share of a service's upstreams that are ejected at once. */
  double mMaxShare = 0.3;
};

} // namespace peridotspool::routing
