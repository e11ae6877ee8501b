#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/gateway/LowQuartile.h"

#include <cstdint>

namespace peridotspool::gateway {

/**
 * How fast a service's engines read prompts, learned from the time to the first
 * event of requests that had no prompt to wait for, as far as was known.
 *
 * A pure step. Not thread-safe.
 */
class ReadRate
{
public:
  /** How long an engine takes to read so many tokens. */
  Duration TimeFor(std::uint64_t aTokens) const;
  /** From the end of reading to the first event. */
  Duration UntilFirst() const;
  /** The first event after aTokens to read came after aTook. */
  void Learn(std::uint64_t aTokens, Duration aTook);

private:
  /** Guesses until the first requests have shown more. */
  LowQuartile mMsPerToken{ 0.025 };
  LowQuartile mUntilFirstMs{ 1.0 };
};

} // namespace peridotspool::gateway
