#include "peridotspool/routing/RetryDecision.h"

#include <algorithm>

namespace peridotspool::routing {

namespace {

/** After this many doublings the bound is at its maximum in any case. */
constexpr std::uint64_t kMaxDoublings = 20;

Duration
JitteredPause(const FailedAttempt& aAttempt, const settings::RetryRules& aRules)
{
  const std::uint64_t doublings =
    std::min(aAttempt.mAttempts - 1, kMaxDoublings);
  const Duration bound = std::min<Duration>(
    aRules.mBackoff * (1LL << doublings), aRules.mBackoffMax);
  const auto range = static_cast<std::uint64_t>(bound.count()) + 1;
  return Duration(static_cast<Duration::rep>(aAttempt.mRandom % range));
}

} // namespace

RetryDecision
DecideRetry(const FailedAttempt& aAttempt,
            const settings::RetryRules& aRules,
            RetryBudget& aBudget,
            TimePoint aNow)
{
  if (aAttempt.mAttempts >= aRules.mAttempts) {
    return NoRetry::kAttemptsSpent;
  }
  const Duration pause = JitteredPause(aAttempt, aRules);
  // A retry that can't finish in time only takes upstream capacity from others.
  if (aNow + pause + aAttempt.mMinTime >= aAttempt.mDeadline) {
    return NoRetry::kDeadlineTooNear;
  }
  if (!aBudget.TakeRetry()) {
    return NoRetry::kBudgetSpent;
  }
  return RetryAfterPause{ .mPause = pause };
}

} // namespace peridotspool::routing
