#include "peridotspool/gateway/LateRefusal.h"

#include <algorithm>

namespace peridotspool::gateway {

namespace {

/** Smaller prompts are let in before the others and don't wait for them. */
constexpr std::uint64_t kLeastPrompt = 3000;
/** An engine with more places left than this serves sooner than believed. */
constexpr double kLeastFullness = 0.5;
constexpr Duration kLeastComeBack = std::chrono::milliseconds(200);

} // namespace

// Engines read prompts in the order in which they come, also those whose
// callers get their answer late or have left. Sending them more than they can
// begin in time keeps them behind for as long as the load lasts; a request that
// is refused at once can be served elsewhere or later.
std::optional<Duration>
ComeBackIn(const StartOutlook& aOutlook)
{
  const bool knows = aOutlook.mHeard && aOutlook.mObjective > Duration(0);
  if (!knows || aOutlook.mPrompt < kLeastPrompt ||
      aOutlook.mFullness < kLeastFullness ||
      aOutlook.mExpected <= aOutlook.mObjective) {
    return std::nullopt;
  }
  // By then the engine is behind by no more than what is still on time.
  return std::max(kLeastComeBack, aOutlook.mExpected - aOutlook.mObjective);
}

} // namespace peridotspool::gateway
