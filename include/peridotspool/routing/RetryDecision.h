#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/routing/RetryBudget.h"
#include "peridotspool/settings/EffectiveService.h"

#include <boost/describe/enum.hpp>
#include <compare>
#include <cstdint>
#include <variant>

namespace peridotspool::routing {

/** Retry after a pause. */
struct RetryAfterPause
{
  Duration mPause{ 0 };

  auto operator<=>(const RetryAfterPause&) const = default;
};

/** Why a failed request is not retried. */
enum class NoRetry
{
  kAttemptsSpent,
  kBudgetSpent,
  kDeadlineTooNear,
};
BOOST_DESCRIBE_ENUM(NoRetry, kAttemptsSpent, kBudgetSpent, kDeadlineTooNear)

using RetryDecision = std::variant<RetryAfterPause, NoRetry>;

/** A request whose last attempt has failed. */
struct FailedAttempt
{
  /** Attempts so far, including the failed one. */
  std::uint64_t mAttempts = 1;
  TimePoint mDeadline;
  /** Minimum time that another attempt takes. */
  Duration mMinTime{ 0 };
  /** Random bits for the pause; the same value gives the same pause. */
  std::uint64_t mRandom = 0;
};

/**
 * Decides whether a failed request is retried, and after which pause: a random
 * one up to a bound that doubles with each attempt ("full jitter"). It does not
 * retry if the deadline would pass. Consumes budget only if the request is
 * retried.
 */
RetryDecision
DecideRetry(const FailedAttempt& aAttempt,
            const settings::RetryRules& aRules,
            RetryBudget& aBudget,
            TimePoint aNow);

} // namespace peridotspool::routing
