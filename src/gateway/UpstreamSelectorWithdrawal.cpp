// Upstreams that want no requests from this entry.

#include "peridotspool/gateway/UpstreamSelector.h"

#include <algorithm>

namespace peridotspool::gateway {

bool
UpstreamSelector::MayReceive(const UpstreamName& aName,
                             Incarnation aIncarnation,
                             TimePoint aNow) const
{
  const auto found = mTrackedUpstreams.find(aName);
  return found != mTrackedUpstreams.end() && AcceptsWork(found->second) &&
         found->second.mReport.mIncarnation == aIncarnation &&
         !RestsUntil(found->second, aNow);
}

std::optional<TimePoint>
UpstreamSelector::RestsUntil(const TrackedUpstream& aUpstream,
                             TimePoint aNow) const
{
  const membership::UpstreamReport& report = aUpstream.mReport;
  return mWithdrawn.RestsUntil(report.mName, report.mIncarnation, aNow);
}

// Includes upstreams that the request was sent to before, as the caller's next
// request may be sent there.
std::optional<TimePoint>
UpstreamSelector::AllRestUntil(const SelectionQuery& aQuery,
                               TimePoint aNow) const
{
  std::optional<TimePoint> earliest;
  for (const auto& [name, upstream] : mTrackedUpstreams) {
    if (upstream.mReport.mService != aQuery.mService ||
        !AcceptsWork(upstream) ||
        !aQuery.mVersions.Allows(upstream.mReport.mVersion)) {
      continue;
    }
    const auto until = RestsUntil(upstream, aNow);
    if (!until) {
      return std::nullopt;
    }
    earliest = std::min(earliest.value_or(*until), *until);
  }
  return earliest;
}

// Where all candidates are on trial, a request is not refused for it.
void
UpstreamSelector::PreferAccepting(
  std::vector<const TrackedUpstream*>& aCandidates,
  TimePoint aNow) const
{
  const auto onTrial = [&](const TrackedUpstream* aOne) {
    return mWithdrawn.IsOnTrial(
      aOne->mReport.mName, aOne->mReport.mIncarnation, aNow);
  };
  if (mWithdrawn.Count() > 0 &&
      !std::all_of(aCandidates.begin(), aCandidates.end(), onTrial)) {
    std::erase_if(aCandidates, onTrial);
  }
}

void
UpstreamSelector::RecordAccepted(const SentRequest& aSent)
{
  mWithdrawn.RecordAccepted(aSent.mName, aSent.mIncarnation, aSent.mSentAt);
}

} // namespace peridotspool::gateway
