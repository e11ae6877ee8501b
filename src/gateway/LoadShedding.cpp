#include "peridotspool/gateway/LoadShedding.h"

#include <algorithm>

namespace peridotspool::gateway {

namespace {

/** Smaller prompts are let in before the others and don't wait for them. */
constexpr std::uint64_t kMinPromptTokens = 3000;
/** An engine with more places left than this serves sooner than believed. */
constexpr double kMinFullness = 0.5;
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(200);

} // namespace

// Engines read prompts in the order in which they come, also those whose
// callers get their answer late or have left. Sending them more than they can
// begin in time keeps them behind for as long as the load lasts; a request that
// is refused at once can be served elsewhere or later.
std::optional<Duration>
RetryAfterIfLate(const FirstEventEstimate& aEstimate)
{
  const bool applies =
    aEstimate.mLoadKnown && aEstimate.mObjective > Duration(0);
  if (!applies || aEstimate.mPromptTokens < kMinPromptTokens ||
      aEstimate.mFullness < kMinFullness ||
      aEstimate.mExpectedFirstEvent <= aEstimate.mObjective) {
    return std::nullopt;
  }
  // By then the engine is behind by no more than what is still on time.
  return std::max(kMinRetryAfter,
                  aEstimate.mExpectedFirstEvent - aEstimate.mObjective);
}

} // namespace peridotspool::gateway
