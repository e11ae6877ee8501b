#include "routing/RouterState.h"

#include <algorithm>

namespace peridotspool::routing {

namespace {

/** Weight of the newest answer in the share of guesses that were right. */
constexpr float kGuessEwmaWeight = 0.1F;

bool
Avoids(const RouteQuery& aQuery, const UpstreamName& aName)
{
  return std::find(aQuery.mAvoid.begin(), aQuery.mAvoid.end(), aName) !=
         aQuery.mAvoid.end();
}

double
TokensOf(const RouteQuery& aQuery, std::size_t aBlocks)
{
  return static_cast<double>(aQuery.mPromptTokens) *
         static_cast<double>(aBlocks) /
         static_cast<double>(aQuery.mPrefixBlocks.size());
}

} // namespace

RouterState::RouterState(RouterOptions aOptions)
  : mOptions(aOptions)
  , mTable(mOptions)
  , mPrefixes(mOptions.mPrefixBlocks)
  , mWithdrawn(mOptions.mRandomSeed)
  , mRandom(mOptions.mRandomSeed)
{
}

std::optional<RouteChoice>
RouterState::Choose(const RouteQuery& aQuery, TimePoint aNow, NoRoute& aReason)
{
  const ServicePool* pool = mTable.Pool(aQuery.mService);
  if (pool == nullptr) {
    aReason = NoRoute::kNoUpstream;
    return std::nullopt;
  }
  Evaluation evaluation;
  EvaluatePrefixHolders(evaluation, *pool, aQuery, aNow);
  EvaluateSample(evaluation, mOptions.mCandidates, *pool, aQuery, aNow);
  const Candidate* best = Best(evaluation);
  if (best == nullptr) {
    // A few unusable candidates are no reason to refuse: compare more.
    EvaluateSample(
      evaluation, mOptions.mFallbackCandidates, *pool, aQuery, aNow);
    best = Best(evaluation);
  }
  if (best == nullptr) {
    aReason = AllRestUntil(aQuery, aNow) ? NoRoute::kAllResting
                                         : NoRouteReason(evaluation, *pool);
    return std::nullopt;
  }
  return Describe(evaluation, *best);
}

std::optional<TimePoint>
RouterState::RestsUntil(UpstreamIndex aIndex, TimePoint aNow) const
{
  const UpstreamAnnouncement& announced = mTable.Detail(aIndex).mAnnouncement;
  return mWithdrawn.RestsUntil(announced.mName, announced.mIncarnation, aNow);
}

std::optional<TimePoint>
RouterState::AllRestUntil(const RouteQuery& aQuery, TimePoint aNow) const
{
  const ServicePool* pool = mTable.Pool(aQuery.mService);
  std::optional<TimePoint> earliest;
  if (pool == nullptr || mWithdrawn.Count() == 0) {
    return earliest;
  }
  for (const UpstreamIndex index : pool->mServing) {
    if (aQuery.mVersion &&
        *aQuery.mVersion != mTable.Detail(index).mAnnouncement.mVersion) {
      continue;
    }
    const auto until = RestsUntil(index, aNow);
    if (!until) {
      return std::nullopt;
    }
    earliest = std::min(earliest.value_or(*until), *until);
  }
  return earliest;
}

bool
RouterState::Contains(const Evaluation& aEvaluation, UpstreamIndex aIndex) const
{
  for (std::size_t at = 0; at < aEvaluation.mCount; ++at) {
    if (aEvaluation.mCandidates[at].mIndex == aIndex) {
      return true;
    }
  }
  return false;
}

void
RouterState::EvaluatePrefixHolders(Evaluation& aEvaluation,
                                   const ServicePool& aPool,
                                   const RouteQuery& aQuery,
                                   TimePoint aNow)
{
  if (aQuery.mPrefixBlocks.empty()) {
    return;
  }
  aEvaluation.mMatch = mPrefixes.Find(aQuery.mPrefixBlocks);
  for (std::size_t at = 0; at < aEvaluation.mMatch.mCount; ++at) {
    const UpstreamIndex index = aEvaluation.mMatch.mHolders[at].mUpstream;
    const UpstreamDetail& detail = mTable.Detail(index);
    if (detail.mServingIndex != kNotServing &&
        detail.mAnnouncement.mService == aQuery.mService) {
      Evaluate(aEvaluation, index, aPool, aQuery, aNow);
    }
  }
}

void
RouterState::EvaluateSample(Evaluation& aEvaluation,
                            std::uint32_t aWanted,
                            const ServicePool& aPool,
                            const RouteQuery& aQuery,
                            TimePoint aNow)
{
  const auto size = static_cast<std::uint32_t>(aPool.mServing.size());
  if (size == 0) {
    return;
  }
  // All upstreams of a small service are compared. Of a large one, a random
  // sample is: if every entry took the best according to the same stale
  // reports, all requests would go to the same upstream.
  const bool all = size <= aWanted;
  const std::uint32_t tries = all ? size : aWanted;
  for (std::uint32_t at = 0; at < tries; ++at) {
    const std::uint32_t place = all ? at : mRandom.Below(size);
    const UpstreamIndex index = aPool.mServing[place];
    if (!Contains(aEvaluation, index)) {
      Evaluate(aEvaluation, index, aPool, aQuery, aNow);
    }
  }
}

void
RouterState::Evaluate(Evaluation& aEvaluation,
                      UpstreamIndex aIndex,
                      const ServicePool& aPool,
                      const RouteQuery& aQuery,
                      TimePoint aNow)
{
  const UpstreamStats& stats = mTable.Stats(aIndex);
  const bool expired = stats.mExpires <= aNow;
  if (expired || aEvaluation.mCount == kMaxCandidates ||
      RestsUntil(aIndex, aNow) ||
      (!aQuery.mAvoid.empty() &&
       Avoids(aQuery, mTable.Detail(aIndex).mAnnouncement.mName)) ||
      (aQuery.mVersion &&
       *aQuery.mVersion != mTable.Detail(aIndex).mAnnouncement.mVersion)) {
    return;
  }
  Candidate& candidate = aEvaluation.mCandidates[aEvaluation.mCount++];
  candidate.mIndex = aIndex;
  candidate.mCachedTokens = CachedTokens(aEvaluation, aIndex, aQuery);
  candidate.mParts =
    ScoreCandidate({ .mStats = stats,
                     .mServiceHoldMicros = aPool.mHoldMicros,
                     .mHighestPrice = aPool.mHighestPrice,
                     .mCachedTokens = candidate.mCachedTokens },
                   aQuery,
                   mOptions,
                   aNow);
}

double
RouterState::CachedTokens(const Evaluation& aEvaluation,
                          UpstreamIndex aIndex,
                          const RouteQuery& aQuery) const
{
  for (std::size_t at = 0; at < aEvaluation.mMatch.mCount; ++at) {
    const PrefixHolder& holder = aEvaluation.mMatch.mHolders[at];
    if (holder.mUpstream == aIndex) {
      const double sure = holder.mKnown ? 1 : mTable.Stats(aIndex).mGuessRate;
      return sure * TokensOf(aQuery, holder.mBlocks);
    }
  }
  return 0;
}

const RouterState::Candidate*
RouterState::Best(const Evaluation& aEvaluation)
{
  const Candidate* best = nullptr;
  for (std::size_t at = 0; at < aEvaluation.mCount; ++at) {
    const Candidate& candidate = aEvaluation.mCandidates[at];
    const bool better =
      best == nullptr || candidate.mParts.Total() < best->mParts.Total();
    if (candidate.mParts.IsUsable() && better) {
      best = &candidate;
    }
  }
  return best;
}

NoRoute
RouterState::NoRouteReason(const Evaluation& aEvaluation,
                           const ServicePool& aPool)
{
  if (aEvaluation.mCount == 0) {
    return aPool.mEjected > 0 ? NoRoute::kAllEjected : NoRoute::kNoUpstream;
  }
  for (std::size_t at = 0; at < aEvaluation.mCount; ++at) {
    if (!aEvaluation.mCandidates[at].mParts.mMissesDeadline) {
      return NoRoute::kQueueFull;
    }
  }
  return NoRoute::kDeadlineTooNear;
}

RouteChoice
RouterState::Describe(const Evaluation& aEvaluation,
                      const Candidate& aBest) const
{
  const UpstreamAnnouncement& chosen =
    mTable.Detail(aBest.mIndex).mAnnouncement;
  RouteChoice choice{ .mUpstream = chosen.mName,
                      .mIncarnation = chosen.mIncarnation,
                      .mKind = chosen.mKind,
                      .mAddress = chosen.mAddress,
                      .mVersion = chosen.mVersion,
                      .mCandidateScores = {} };
  choice.mCandidateScores.reserve(aEvaluation.mCount);
  for (std::size_t at = 0; at < aEvaluation.mCount; ++at) {
    const Candidate& candidate = aEvaluation.mCandidates[at];
    choice.mCandidateScores.push_back(
      { .mUpstream = mTable.Detail(candidate.mIndex).mAnnouncement.mName,
        .mExpectedFirstToken = Duration(
          static_cast<Duration::rep>(candidate.mParts.mFirstTokenMicros)),
        .mCachedTokens = static_cast<std::uint64_t>(candidate.mCachedTokens),
        .mLatencyPart = candidate.mParts.mLatencyPart,
        .mCostPart = candidate.mParts.mCostPart,
        .mTotal = candidate.mParts.Total() });
  }
  return choice;
}

void
RouterState::Cached(const CacheReport& aReport)
{
  const auto index = mTable.Find(aReport.mUpstream);
  if (!index) {
    return;
  }
  UpstreamDetail& detail = mTable.Detail(*index);
  if (aReport.mIncarnation != detail.mAnnouncement.mIncarnation ||
      aReport.mSequence <= detail.mCacheSequence) {
    return;
  }
  // After lost reports, a block that the index has may have been removed.
  // Trusting the index would send prompts to an upstream that has to compute
  // them again.
  if (detail.mCacheSequence != 0 &&
      aReport.mSequence != detail.mCacheSequence + 1) {
    mPrefixes.MarkUncertain(*index);
  }
  detail.mCacheSequence = aReport.mSequence;
  for (const std::uint64_t block : aReport.mRemovedBlocks) {
    mPrefixes.Remove(block, *index);
  }
  for (const std::uint64_t block : aReport.mAddedBlocks) {
    mPrefixes.Add(block, *index, true);
  }
}

void
RouterState::Answered(UpstreamIndex aIndex,
                      const RouteQuery& aQuery,
                      std::uint64_t aCachedTokens)
{
  if (aQuery.mPrefixBlocks.empty() || aQuery.mPromptTokens == 0) {
    return;
  }
  const PrefixMatch match = mPrefixes.Find(aQuery.mPrefixBlocks);
  for (std::size_t at = 0; at < match.mCount; ++at) {
    const PrefixHolder& holder = match.mHolders[at];
    if (holder.mUpstream != aIndex || holder.mKnown) {
      continue;
    }
    const double expected = TokensOf(aQuery, holder.mBlocks);
    const float right =
      static_cast<double>(aCachedTokens) >= expected ? 1.0F : 0.0F;
    float& rate = mTable.Stats(aIndex).mGuessRate;
    rate += kGuessEwmaWeight * (right - rate);
  }
  // The engine has just computed the whole prompt, so it is in its cache.
  mPrefixes.AddPrompt(aQuery.mPrefixBlocks, aIndex, true);
}

void
RouterState::GuessCached(UpstreamIndex aIndex, const RouteQuery& aQuery)
{
  mPrefixes.AddPrompt(aQuery.mPrefixBlocks, aIndex, false);
}

} // namespace peridotspool::routing
