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

// Whatever is sent to engines that are behind is read before all that comes
// later. Sent without regard to that, prompts of callers that get their answer
// late, or have left by then, hold up the others until these are late too, and
// engines stay behind for as long as the load does: at a load at which 86 to 98
// of 100 prompts came in time before an overload of 8 s, none did after it. One
// that is refused at once can be served elsewhere or later: 96 to 98 of 100
// come in time from 12 s after the overload on, and one is refused for good
// (OverloadRecoveryTest).
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
