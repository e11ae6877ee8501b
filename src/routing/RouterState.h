#pragma once

#include "peridotspool/limits/WithdrawnUpstreams.h"
#include "peridotspool/routing/Router.h"
#include "routing/PrefixIndex.h"
#include "routing/RandomSource.h"
#include "routing/Score.h"
#include "routing/UpstreamTable.h"

#include <array>

namespace peridotspool::routing {

/** Maximum candidates of one decision. */
inline constexpr std::size_t kMaxCandidates = 64;

/** The state of the router. */
class RouterState
{
public:
  explicit RouterState(RouterOptions aOptions);

  std::optional<RouteChoice> Choose(const RouteQuery& aQuery,
                                    TimePoint aNow,
                                    NoRoute& aReason);
  void Cached(const CacheReport& aReport);
  void Answered(UpstreamIndex aIndex,
                const RouteQuery& aQuery,
                std::uint64_t aCachedTokens);
  /** Records the prompt as a guess for the upstream's cache. */
  void GuessCached(UpstreamIndex aIndex, const RouteQuery& aQuery);

  std::optional<TimePoint> AllRestUntil(const RouteQuery& aQuery,
                                        TimePoint aNow) const;

  RouterOptions mOptions;
  UpstreamTable mTable;
  PrefixIndex mPrefixes;
  limits::WithdrawnUpstreams mWithdrawn;

private:
  struct Candidate
  {
    UpstreamIndex mIndex = 0;
    ScoreParts mParts;
    double mCachedTokens = 0;
  };
  /** The candidates of one decision. */
  struct Evaluation
  {
    std::array<Candidate, kMaxCandidates> mCandidates;
    std::size_t mCount = 0;
    PrefixMatch mMatch;
  };

  /** Returns the end of the upstream's rest if it isn't over. */
  std::optional<TimePoint> RestsUntil(UpstreamIndex aIndex,
                                      TimePoint aNow) const;
  bool Contains(const Evaluation& aEvaluation, UpstreamIndex aIndex) const;
  void Evaluate(Evaluation& aEvaluation,
                UpstreamIndex aIndex,
                const ServicePool& aPool,
                const RouteQuery& aQuery,
                TimePoint aNow);
  void EvaluatePrefixHolders(Evaluation& aEvaluation,
                             const ServicePool& aPool,
                             const RouteQuery& aQuery,
                             TimePoint aNow);
  void EvaluateSample(Evaluation& aEvaluation,
                      std::uint32_t aWanted,
                      const ServicePool& aPool,
                      const RouteQuery& aQuery,
                      TimePoint aNow);
  double CachedTokens(const Evaluation& aEvaluation,
                      UpstreamIndex aIndex,
                      const RouteQuery& aQuery) const;
  static const Candidate* Best(const Evaluation& aEvaluation);
  static NoRoute NoRouteReason(const Evaluation& aEvaluation,
                               const ServicePool& aPool);
  RouteChoice Describe(const Evaluation& aEvaluation,
                       const Candidate& aBest) const;

  RandomSource mRandom;
};

} // namespace peridotspool::routing
