#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/gateway/LowerQuartileEstimator.h"

#include <cstdint>

namespace peridotspool::gateway {

/**
 * Estimates the prefill rate of a service's engines from the time to the first
 * event of requests that found the engine's prefill queue empty, as far as was
 * known.
 *
 * Does no I/O and reads no clock. Not thread-safe.
 */
class PrefillRate
{
public:
  /** Returns the time that an engine takes to prefill aTokens. */
  Duration PrefillTime(std::uint64_t aTokens) const;
  /** Returns the time from the end of the prefill to the first event. */
  Duration FirstEventOverhead() const;
  /**
   * Records that a request that needed a prefill of aTokens had its first event
   * after aTook.
   */
  void AddSample(std::uint64_t aTokens, Duration aTook);

private:
  /** Initial guesses, replaced by the first samples. */
  LowerQuartileEstimator mMsPerToken{ 0.025 };
  LowerQuartileEstimator mFirstEventOverheadMs{ 1.0 };
};

} // namespace peridotspool::gateway
