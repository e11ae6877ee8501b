#include "routing/Score.h"

#include <algorithm>
#include <cmath>

namespace peridotspool::routing {

namespace {

constexpr double kMicrosPerSecond = 1e6;
/** A second beyond the first token's target weighs as many. */
constexpr double kOverTargetWeight = 4;
/** What an answer expected after its deadline weighs, in seconds. */
constexpr double kDeadlinePenaltySeconds = 10;
/** The part of the target up to which the price counts. */
constexpr double kPriceTargetFraction = 0.5;
/** Requests of other entries that are on their way to an upstream. */
constexpr double kUnseenRequests = 0.5;
/**
 * How much longer a prompt takes in a full batch. More than the batch alone
 * costs: a busy upstream is also likelier to be found full on arrival.
 */
constexpr double kBatchSlowdown = 3;
/** Part of a prompt's time that a full cache hit saves. */
constexpr double kCacheSavings = 0.9;

// An upstream's own mean changes only with what is sent there. One that was
// slow while too much was sent there would be kept out by it for good: it had
// none of 160 requests in the 80 s after it, and has its part 10 s after it now
// (SlowOnceTest). So the mean holds for a while, then its service's does.
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

/** Returns the expected wait for a slot inside the upstream. */
double
WaitMicros(const UpstreamStats& aFigures,
           double aHold,
           const RouterOptions& aOptions)
{
  const double unseen = aOptions.mOtherEntriesSend ? kUnseenRequests : 0;
  const double ahead = aFigures.mLoad + unseen - aFigures.mSlots + 1;
  return ahead > 0 ? ahead * aHold / aFigures.mSlots : 0;
}

/** Returns the time of the prompt: a batch shares the engine. */
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
 * Returns how far the price counts: wholly for a request that surely keeps its
 * target, not at all for one that may miss it. A price that counts always
 * crowds the cheap upstreams until all that use them are late.
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
