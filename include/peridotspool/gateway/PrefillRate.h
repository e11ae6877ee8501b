#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/gateway/LowerQuartileEstimator.h"

#include <cstdint>

namespace peridotspool::gateway {

/**
 * How fast a service's engines read prompts, learned from the time to the first
 * event of requests that had no prompt to wait for, as far as was known.
 *
 * A pure step. Not thread-safe.
 */
class PrefillRate
{
public:
  /** How long an engine takes to read so many tokens. */
  Duration PrefillTime(std::uint64_t aTokens) const;
  /** From the end of reading to the first event. */
  Duration FirstEventOverhead() const;
  /** The first event after aTokens to read came after aTook. */
  void AddSample(std::uint64_t aTokens, Duration aTook);

private:
  /** Guesses until the first requests have shown more. */
  LowerQuartileEstimator mMsPerToken{ 0.025 };
  LowerQuartileEstimator mFirstEventOverheadMs{ 1.0 };
};

} // namespace peridotspool::gateway
