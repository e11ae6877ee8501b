#include "peridotspool/gateway/LoadShedding.h"

#include <algorithm>

namespace peridotspool::gateway {

namespace {

/**
 * Engines admit smaller prompts first, so these do not wait for the backlog.
 */
constexpr std::uint64_t kMinPromptTokens = 3000;
/**
 * An engine with a lower fraction of its slots occupied starts prompts sooner
 * than estimated.
 */
constexpr double kMinFullness = 0.5;
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(200);

} // namespace

// Engines prefill prompts in order of arrival, including those whose callers
// receive the response late or have disconnected. Sending an engine more than
// it can start in time keeps it behind for as long as the load lasts. A request
// that is refused at once can be served elsewhere or later.
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
  // After this delay the remaining backlog no longer exceeds the objective.
  return std::max(kMinRetryAfter,
                  aEstimate.mExpectedFirstEvent - aEstimate.mObjective);
}

} // namespace peridotspool::gateway
