#pragma once

#include "peridotspool/base/Time.h"

#include <cstdint>
#include <optional>

namespace peridotspool::gateway {

/** Estimated start of a prompt at the upstream that can start it soonest. */
struct FirstEventEstimate
{
  /** Time from now to the first event. */
  Duration mExpectedFirstEvent{ 0 };
  /** Target for the time to the first event; zero if none is set. */
  Duration mObjective{ 0 };
  /** 0 for a plain call. */
  std::uint64_t mPromptTokens = 0;
  /** The load coordinator of the upstream has reported its load. */
  bool mLoadKnown = false;
  /** Occupied fraction of the upstream's batch slots. */
  double mFullness = 0.0;
};

/**
 * Returns the retry-after delay for a prompt whose first event is expected to
 * miss its objective; empty if the prompt is to be sent.
 */
std::optional<Duration>
RetryAfterIfLate(const FirstEventEstimate& aEstimate);

} // namespace peridotspool::gateway
