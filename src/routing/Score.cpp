#include "routing/Score.h"

#include <algorithm>
#include <cmath>

namespace peridotspool::routing {

namespace {

constexpr double kMicrosPerSecond = 1e6;
/** A second beyond the first token's target weighs as many. */
constexpr double kBeyondTarget = 4;
/** What an answer expected after its deadline weighs, in seconds. */
constexpr double kLatePenalty = 10;
/** Part of a prompt's time that a full cache hit saves. */
constexpr double kCacheSaves = 0.9;

double
HoldMicros(const CandidateFacts& aFacts, const RouterOptions& aOptions)
{
  if (aFacts.mFigures.mHoldMicros > 0) {
    return aFacts.mFigures.mHoldMicros;
  }
  return aFacts.mServiceHoldMicros > 0
           ? aFacts.mServiceHoldMicros
           : static_cast<double>(aOptions.mFirstHold.count());
}

/** Returns the expected wait for a slot inside the upstream. */
double
WaitMicros(const UpstreamFigures& aFigures, double aHold)
{
  if (aFigures.mLoad < aFigures.mSlots) {
    return 0;
  }
  const double ahead = aFigures.mLoad - aFigures.mSlots + 1;
  return ahead * aHold / aFigures.mSlots;
}

/** Returns the time of the prompt: a batch shares the engine. */
double
PromptMicros(const CandidateFacts& aFacts, const RouteQuery& aQuery)
{
  const UpstreamFigures& figures = aFacts.mFigures;
  double computed = 1;
  if (aQuery.mPromptTokens > 0) {
    computed -= kCacheSaves * aFacts.mCachedTokens /
                static_cast<double>(aQuery.mPromptTokens);
  }
  const double busy =
    static_cast<double>(std::min(figures.mLoad, figures.mSlots)) /
    figures.mSlots;
  return figures.mFirstTokenMicros * computed * (1 + busy);
}

} // namespace

ScoreParts
ScoreCandidate(const CandidateFacts& aFacts,
               const RouteQuery& aQuery,
               const RouterOptions& aOptions,
               TimePoint aNow)
{
  const UpstreamFigures& figures = aFacts.mFigures;
  const double hold = HoldMicros(aFacts, aOptions);
  const auto remaining = static_cast<double>((aQuery.mDeadline - aNow).count());
  const auto target = static_cast<double>(aQuery.mFirstTokenTarget.count());
  ScoreParts parts;
  parts.mFirstTokenMicros =
    std::round(WaitMicros(figures, hold) + PromptMicros(aFacts, aQuery));
  parts.mQueueFull =
    figures.mLoad >= figures.mSlots * (1 + aOptions.mMaxWaitingPerSlot);
  parts.mTooLate = parts.mFirstTokenMicros >= remaining;
  double seconds = parts.mFirstTokenMicros / kMicrosPerSecond;
  if (target > 0 && parts.mFirstTokenMicros > target) {
    seconds += (kBeyondTarget - 1) * (parts.mFirstTokenMicros - target) /
               kMicrosPerSecond;
  }
  if (parts.mFirstTokenMicros + hold > remaining) {
    seconds += kLatePenalty;
  }
  parts.mLatencyPart = aOptions.mLatencyWeight * seconds;
  parts.mCostPart = aOptions.mCostWeight * figures.mPrice;
  return parts;
}

} // namespace peridotspool::routing
