#pragma once

#include "peridotspool/base/Ids.h"
#include "peridotspool/base/Time.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace peridotspool::settings {

enum class ServiceKind
{
  kModel,
  kPlain,
};

/** Upper bounds of a rate and of requests under way. */
struct Limits
{
  /** Requests a second, over all entries together. */
  double mRatePerSecond = 0;
  /** Requests under way at once, over all entries together. */
  std::uint64_t mConcurrency = 0;

  auto operator<=>(const Limits&) const = default;
};

/** How failed tries are repeated. */
struct RetryRules
{
  /** Retries as a share of first tries, 0 to 1. */
  double mBudget = 0.1;
  /** Tries of one request, the first included. */
  std::uint64_t mAttempts = 3;
  Duration mBackoff{ 0 };
  Duration mBackoffMax{ 0 };

  auto operator<=>(const RetryRules&) const = default;
};

/** Failure domains to use first, and those to use last. */
struct Placement
{
  std::vector<FailureDomain> mPrefer;
  std::vector<FailureDomain> mAvoid;

  auto operator<=>(const Placement&) const = default;
};

/** Every value that holds for one customer's use of one service. */
struct EffectiveService
{
  CustomerName mCustomer;
  ServiceName mService;
  ServiceKind mKind = ServiceKind::kModel;
  /** The default for requests that do not say. */
  bool mIdempotent = false;
  /** The default for requests that do not say; lower is more urgent. */
  std::int32_t mPriority = 0;
  Duration mDeadlineDefault{ 0 };
  Duration mDeadlineMax{ 0 };
  /** For this customer and this service. */
  Limits mLimits;
  /** For this customer over all its services. */
  Limits mTotal;
  /** The customer's share against other customers'. */
  double mWeight = 1;
  RetryRules mRetry;
  Duration mFirstTokenTarget{ 0 };
  Duration mTokenGapTarget{ 0 };
  /** What one second of expected waiting weighs. */
  double mLatencyWeight = 1;
  /** What one currency unit an hour weighs. */
  double mCostWeight = 1;
  Placement mPlacement;
  /** How long a finished answer is kept for a caller that comes back. */
  Duration mRetention{ 0 };

  auto operator<=>(const EffectiveService&) const = default;
};

} // namespace peridotspool::settings
