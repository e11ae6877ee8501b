#include "routing/Score.h"

#include <algorithm>
#include <cmath>

namespace peridotspool::routing {

namespace {

constexpr double kMicrosPerSecond = 1e6;
/** A second beyond the first token target weighs as much as this many. */
constexpr double kOverTargetWeight = 4;
/** Penalty in seconds for a response that is expected after its deadline. */
constexpr double kDeadlinePenaltySeconds = 10;
/** Fraction of the target up to which the price counts. */
constexpr double kPriceTargetFraction = 0.5;
/**
 * Expected requests of other entries that were sent to an upstream but not
 * reported yet.
 */
constexpr double kUnseenRequests = 0.5;
/**
 * Slowdown of the prefill in a full batch. It is larger than the cost of the
 * batch alone, because a busy upstream is also more likely to be full when the
 * request arrives.
 */
constexpr double kBatchSlowdown = 3;
/** Fraction of the prefill time that a full cache hit saves. */
constexpr double kCacheSavings = 0.9;

// An upstream's own mean changes only with the requests that it receives. If
// only that mean counted, an upstream that was slow under overload would never
// be chosen again: in SlowOnceTest it received none of the 160 requests in the
// 80 s after it had recovered. Therefore the mean expires, and the mean of the
// service is used instead; the upstream then gets its share again after 10 s.
double
HoldMicros(const CandidateFacts& aFacts,
           const RouterOptions& aOptions,
           TimePoint aNow)
{
  if (aFacts.mStats.mHoldMicros > 0 && aNow < aFacts.mStats.mHoldExpires) {
    return aFacts.mStats.mHoldMicros;
  }
  return aFacts.mServiceHoldMicros > 0
           ? aFacts.mServiceHoldMicros
           : static_cast<double>(aOptions.mInitialHoldTime.count());
}

/** Returns the expected time to wait for a slot inside the upstream. */
double
WaitMicros(const UpstreamStats& aFigures,
           double aHold,
           const RouterOptions& aOptions)
{
  const double unseen = aOptions.mOtherEntriesSend ? kUnseenRequests : 0;
  const double ahead = aFigures.mLoad + unseen - aFigures.mSlots + 1;
  return ahead > 0 ? ahead * aHold / aFigures.mSlots : 0;
}

/** Returns the expected prefill time. Requests of a batch share the engine. */
double
PrefillMicros(const CandidateFacts& aFacts, const RouteQuery& aQuery)
{
  const UpstreamStats& stats = aFacts.mStats;
  double computed = 1;
  if (aQuery.mPromptTokens > 0) {
    computed -= kCacheSavings * aFacts.mCachedTokens /
                static_cast<double>(aQuery.mPromptTokens);
  }
  const double busy =
    std::min<double>(stats.mLoad, stats.mSlots) / stats.mSlots;
  return stats.mFirstTokenMicros * computed * (1 + kBatchSlowdown * busy);
}

/**
 * Returns the weight of the price: 1 for a request that surely meets its
 * target, 0 for one that may miss it. If the price always counted, cheap
 * upstreams would be overloaded until all requests on them were late.
 */
double
PriceWeight(double aFirstTokenMicros, double aTarget)
{
  if (aTarget <= 0) {
    return 1;
  }
  return std::clamp(
    1 - aFirstTokenMicros / (kPriceTargetFraction * aTarget), 0.0, 1.0);
}

} // namespace

ScoreParts
ScoreCandidate(const CandidateFacts& aFacts,
               const RouteQuery& aQuery,
               const RouterOptions& aOptions,
               TimePoint aNow)
{
  const UpstreamStats& stats = aFacts.mStats;
  const double hold = HoldMicros(aFacts, aOptions, aNow);
  const auto remaining = static_cast<double>((aQuery.mDeadline - aNow).count());
  const auto target = static_cast<double>(aQuery.mFirstTokenTarget.count());
  ScoreParts parts;
  parts.mFirstTokenMicros = std::round(WaitMicros(stats, hold, aOptions) +
                                       PrefillMicros(aFacts, aQuery));
  parts.mQueueFull =
    stats.mLoad >= stats.mSlots * (1 + aOptions.mMaxWaitingPerSlot);
  parts.mMissesDeadline = parts.mFirstTokenMicros >= remaining;
  double seconds = parts.mFirstTokenMicros / kMicrosPerSecond;
  if (target > 0 && parts.mFirstTokenMicros > target) {
    seconds += (kOverTargetWeight - 1) * (parts.mFirstTokenMicros - target) /
               kMicrosPerSecond;
  }
  if (parts.mFirstTokenMicros + hold > remaining) {
    seconds += kDeadlinePenaltySeconds;
  }
  parts.mLatencyPart = aOptions.mLatencyWeight * seconds;
  const double slack = PriceWeight(parts.mFirstTokenMicros, target);
  parts.mCostPart = aOptions.mCostWeight *
                    (slack * stats.mPrice + (1 - slack) * aFacts.mHighestPrice);
  return parts;
}

} // namespace peridotspool::routing
