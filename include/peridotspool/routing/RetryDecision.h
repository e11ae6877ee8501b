#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/routing/RetryBudget.h"
#include "peridotspool/settings/EffectiveService.h"

#include <boost/describe/enum.hpp>
#include <compare>
#include <cstdint>
#include <variant>

namespace peridotspool::routing {

/** Try again after a pause. */
struct RetryAfterPause
{
  Duration mPause{ 0 };

  auto operator<=>(const RetryAfterPause&) const = default;
};

/** Why a failed request is not tried again. */
enum class NoRetry
{
  kAttemptsSpent,
  kBudgetSpent,
  kDeadlineTooNear,
};
BOOST_DESCRIBE_ENUM(NoRetry, kAttemptsSpent, kBudgetSpent, kDeadlineTooNear)

using RetryDecision = std::variant<RetryAfterPause, NoRetry>;

/** A request whose try has just failed. */
struct FailedAttempt
{
  /** Tries so far, this one included. */
  std::uint64_t mAttempts = 1;
  TimePoint mDeadline;
  /** The least time that another try needs. */
  Duration mMinTime{ 0 };
  /** Any number; the same number gives the same pause. */
  std::uint64_t mRandom = 0;
};

/**
 * Decides whether a failed request is tried again, and after which pause: a
 * random one up to a bound that doubles with each try ("full jitter"), and
 * never so long that the deadline passes. Takes from the budget only when the
 * answer is to try again.
 */
RetryDecision
DecideRetry(const FailedAttempt& aAttempt,
            const settings::RetryRules& aRules,
            RetryBudget& aBudget,
            TimePoint aNow);

} // namespace peridotspool::routing
