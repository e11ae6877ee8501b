#include "peridotspool/routing/Router.h"

#include <algorithm>
#include <map>

namespace peridotspool::routing {

namespace {

struct Known
{
  UpstreamAnnouncement mAnnouncement;
  TimePoint mExpires;
  std::uint32_t mSent = 0;
};

} // namespace

/** Thin: least loaded of all that serve; replaced by the measured router. */
class RouterState
{
public:
  std::map<UpstreamName, Known> mKnown;
};

Router::Router(RouterOptions /*aOptions*/)
  : mState(std::make_unique<RouterState>())
{
}

Router::~Router() = default;

bool
Router::Announce(const UpstreamAnnouncement& aAnnouncement, TimePoint aNow)
{
  Known& known = mState->mKnown[aAnnouncement.mName];
  const bool newer =
    std::pair(aAnnouncement.mIncarnation, aAnnouncement.mSequence) >
    std::pair(known.mAnnouncement.mIncarnation, known.mAnnouncement.mSequence);
  if (!newer) {
    return false;
  }
  known.mAnnouncement = aAnnouncement;
  known.mExpires = aNow + aAnnouncement.mLease;
  return true;
}

void
Router::Tick(TimePoint /*aNow*/)
{
}

std::optional<RouteChoice>
Router::Choose(const RouteQuery& aQuery, TimePoint aNow, NoRoute& aWhyNot)
{
  const Known* best = nullptr;
  for (const auto& [name, known] : mState->mKnown) {
    const bool usable =
      known.mAnnouncement.mService == aQuery.mService &&
      known.mAnnouncement.mState == UpstreamState::kServing &&
      aNow < known.mExpires &&
      std::count(aQuery.mAvoid.begin(), aQuery.mAvoid.end(), name) == 0;
    if (usable && (best == nullptr || known.mSent < best->mSent)) {
      best = &known;
    }
  }
  if (best == nullptr) {
    aWhyNot = NoRoute::kNoUpstream;
    return std::nullopt;
  }
  return RouteChoice{ .mUpstream = best->mAnnouncement.mName,
                      .mIncarnation = best->mAnnouncement.mIncarnation,
                      .mKind = best->mAnnouncement.mKind,
                      .mAddress = best->mAnnouncement.mAddress };
}

void
Router::Sent(const UpstreamName& aUpstream,
             const RouteQuery& /*aQuery*/,
             TimePoint /*aNow*/)
{
  ++mState->mKnown[aUpstream].mSent;
}

void
Router::Ended(const UpstreamName& aUpstream,
              AttemptEnd /*aEnd*/,
              TimePoint /*aNow*/)
{
  Known& known = mState->mKnown[aUpstream];
  known.mSent -= known.mSent > 0 ? 1 : 0;
}

std::optional<UpstreamAnnouncement>
Router::Find(const UpstreamName& aUpstream, TimePoint aNow) const
{
  const auto found = mState->mKnown.find(aUpstream);
  if (found == mState->mKnown.end() || aNow >= found->second.mExpires) {
    return std::nullopt;
  }
  return found->second.mAnnouncement;
}

std::vector<UpstreamAnnouncement>
Router::Upstreams(TimePoint aNow) const
{
  std::vector<UpstreamAnnouncement> all;
  for (const auto& [name, known] : mState->mKnown) {
    if (aNow < known.mExpires) {
      all.push_back(known.mAnnouncement);
    }
  }
  return all;
}

} // namespace peridotspool::routing
