#include "peridotspool/routing/Router.h"

#include "routing/RouterState.h"

namespace peridotspool::routing {

Router::Router(RouterOptions aOptions)
  : mState(std::make_unique<RouterState>(aOptions))
{
}

Router::~Router() = default;

bool
Router::Announce(const UpstreamAnnouncement& aAnnouncement, TimePoint aNow)
{
  const auto result = mState->mTable.Announce(aAnnouncement, aNow);
  if (result && result->mNewIncarnation) {
    mState->mPrefixes.Clear(result->mIndex);
  }
  return result.has_value();
}

void
Router::Tick(TimePoint aNow)
{
  mState->mTable.Tick(aNow);
  mState->mWithdrawn.RemoveExpired(aNow);
}

std::optional<RouteChoice>
Router::Choose(const RouteQuery& aQuery, TimePoint aNow, NoRoute& aReason)
{
  return mState->Choose(aQuery, aNow, aReason);
}

void
Router::Sent(const UpstreamName& aUpstream,
             const RouteQuery& aQuery,
             TimePoint aNow)
{
  if (const auto index = mState->mTable.Find(aUpstream)) {
    mState->mTable.Sent(*index, aNow);
    mState->GuessCached(*index, aQuery);
  }
}

void
Router::Ended(const UpstreamName& aUpstream, AttemptEnd aEnd, TimePoint aNow)
{
  if (const auto index = mState->mTable.Find(aUpstream)) {
    mState->mTable.Ended(*index, aEnd, aNow);
  }
}

void
Router::RecordRest(const UpstreamName& aUpstream,
                   Incarnation aIncarnation,
                   Duration aRest,
                   TimePoint aNow)
{
  mState->mWithdrawn.RecordRest(aUpstream, aIncarnation, aRest, aNow);
}

std::optional<TimePoint>
Router::AllRestUntil(const RouteQuery& aQuery, TimePoint aNow) const
{
  return mState->AllRestUntil(aQuery, aNow);
}

void
Router::Cached(const CacheReport& aReport)
{
  mState->Cached(aReport);
}

void
Router::Answered(const UpstreamName& aUpstream,
                 const RouteQuery& aQuery,
                 std::uint64_t aCachedTokens)
{
  if (const auto index = mState->mTable.Find(aUpstream)) {
    mState->Answered(*index, aQuery, aCachedTokens);
  }
}

void
Router::SetWeights(double aLatencyWeight, double aCostWeight)
{
  mState->mOptions.mLatencyWeight = aLatencyWeight;
  mState->mOptions.mCostWeight = aCostWeight;
}

std::uint64_t
Router::Ejections() const
{
  return mState->mTable.Ejections();
}

std::optional<UpstreamAnnouncement>
Router::Find(const UpstreamName& aUpstream, TimePoint aNow) const
{
  const auto index = mState->mTable.Find(aUpstream);
  if (!index || mState->mTable.Stats(*index).mExpires <= aNow) {
    return std::nullopt;
  }
  return mState->mTable.Detail(*index).mAnnouncement;
}

std::vector<UpstreamAnnouncement>
Router::Upstreams(TimePoint aNow) const
{
  return mState->mTable.Present(aNow);
}

} // namespace peridotspool::routing
