#pragma once

#include "peridotspool/routing/RouteQuery.h"
#include "peridotspool/routing/RouterOptions.h"
#include "routing/Upstream.h"

namespace peridotspool::routing {

/** Inputs of one candidate's score. */
struct CandidateFacts
{
  UpstreamStats mStats;
  /** Mean run time of the service's requests; zero if none has ended. */
  double mServiceHoldMicros = 0;
  /** Highest price of the service's upstreams. */
  double mHighestPrice = 0;
  /** Tokens of the prompt that are expected in the upstream's cache. */
  double mCachedTokens = 0;
};

/** The parts of one candidate's score; lower is better. */
struct ScoreParts
{
  double mFirstTokenMicros = 0;
  double mLatencyPart = 0;
  double mCostPart = 0;
  bool mQueueFull = false;
  /** True iff even the first token is expected after the deadline. */
  bool mMissesDeadline = false;

  double Total() const { return mLatencyPart + mCostPart; }
  bool IsUsable() const { return !mQueueFull && !mMissesDeadline; }
};

/** Scores one candidate by its expected time and its price. */
ScoreParts
ScoreCandidate(const CandidateFacts& aFacts,
               const RouteQuery& aQuery,
               const RouterOptions& aOptions,
               TimePoint aNow);

} // namespace peridotspool::routing
