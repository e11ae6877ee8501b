#pragma once

#include "peridotspool/base/Time.h"

#include <cstdint>

namespace peridotspool::gateway {

/**
 * How fast a service's engines read prompts, learned from the time to the first
 * event of requests that had nothing to wait for.
 *
 * A pure step. Not thread-safe.
 */
class ReadRate
{
public:
  /** How long an engine takes to read so many tokens. */
  Duration TimeFor(std::uint64_t aTokens) const;
  /** An engine with nothing else to read took aTook for aTokens. */
  void Learn(std::uint64_t aTokens, Duration aTook);

private:
  /** A guess until the first request has shown more. */
  double mTokensPerMs = 40.0;
};

} // namespace peridotspool::gateway
