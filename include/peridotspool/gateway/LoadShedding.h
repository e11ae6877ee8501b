#pragma once

#include "peridotspool/base/Time.h"

#include <cstdint>
#include <optional>

namespace peridotspool::gateway {

/** What is expected of a prompt at the upstream that would begin it soonest. */
struct FirstEventEstimate
{
  /** From now to its first event. */
  Duration mExpectedFirstEvent{ 0 };
  /** A first event within this is on time; zero if none is set. */
  Duration mObjective{ 0 };
  /** Tokens of the prompt; 0 for a plain call. */
  std::uint64_t mPromptTokens = 0;
  /** Who keeps account of the upstream has said what it has to do. */
  bool mLoadKnown = false;
  /** Places of its batch that are taken, as a part of them. */
  double mFullness = 0.0;
};

/**
 * Returns when the caller of a prompt is to come back, as its first event is
 * expected to be late; empty if the prompt is to be served.
 */
std::optional<Duration>
RetryAfterIfLate(const FirstEventEstimate& aEstimate);

} // namespace peridotspool::gateway
