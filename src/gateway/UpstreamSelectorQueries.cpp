// What the selector knows of upstreams, for other parts of the gateway.

#include "peridotspool/gateway/UpstreamSelector.h"

#include <algorithm>

namespace peridotspool::gateway {

std::vector<DialTarget>
UpstreamSelector::SampleReady(std::size_t aCount,
                              std::uint64_t aSeed,
                              const std::set<UpstreamName>& aLast,
                              TimePoint aNow) const
{
  std::vector<const TrackedUpstream*> ready;
  for (const auto& [name, upstream] : mTrackedUpstreams) {
    if (AcceptsWork(upstream)) {
      ready.push_back(&upstream);
    }
  }
  ready = Ordered(std::move(ready), aSeed);
  std::stable_partition(
    ready.begin(), ready.end(), [&](const TrackedUpstream* aOne) {
      return !aLast.contains(aOne->mReport.mName) && !RestsUntil(*aOne, aNow);
    });
  std::vector<DialTarget> targets;
  for (const TrackedUpstream* upstream : ready) {
    if (targets.size() == aCount) {
      break;
    }
    targets.push_back({ .mName = upstream->mReport.mName,
                        .mIncarnation = upstream->mReport.mIncarnation,
                        .mAddress = upstream->mReport.mAddress });
  }
  return targets;
}

std::size_t
UpstreamSelector::ReadyCount(const ServiceName& aService, TimePoint aNow) const
{
  return static_cast<std::size_t>(std::count_if(
    mTrackedUpstreams.begin(), mTrackedUpstreams.end(), [&](const auto& aPair) {
      return aPair.second.mReport.mService == aService &&
             AcceptsWork(aPair.second) && aPair.second.mEjectedUntil <= aNow;
    }));
}

Duration
UpstreamSelector::UncachedFirstEventTime(const ServiceName& aService,
                                         std::uint64_t aTokens) const
{
  const PrefillRate rate = RateOf(aService);
  return rate.PrefillTime(aTokens) + rate.FirstEventOverhead();
}

rollout::ReadyByVersion
UpstreamSelector::ReadyVersions(const ServiceName& aService) const
{
  rollout::ReadyByVersion ready;
  for (const auto& [name, upstream] : mTrackedUpstreams) {
    if (upstream.mReport.mService == aService && AcceptsWork(upstream)) {
      ++ready[upstream.mReport.mVersion];
    }
  }
  return ready;
}

std::uint64_t
UpstreamSelector::RunningOtherVersions(const ServiceName& aService,
                                       const VersionName& aVersion) const
{
  std::uint64_t running = 0;
  for (const auto& [name, upstream] : mTrackedUpstreams) {
    if (upstream.mReport.mService == aService &&
        upstream.mReport.mVersion != aVersion) {
      running += upstream.mInFlight;
    }
  }
  return running;
}

std::map<ServiceName, std::uint64_t>
UpstreamSelector::Running() const
{
  std::map<ServiceName, std::uint64_t> running;
  for (const auto& [name, upstream] : mTrackedUpstreams) {
    running[upstream.mReport.mService] += upstream.mInFlight;
  }
  return running;
}

std::uint32_t
UpstreamSelector::InFlight(const UpstreamName& aName) const
{
  const auto found = mTrackedUpstreams.find(aName);
  return found == mTrackedUpstreams.end() ? 0 : found->second.mInFlight;
}

std::optional<VersionName>
UpstreamSelector::VersionOf(const UpstreamName& aName) const
{
  const auto found = mTrackedUpstreams.find(aName);
  return found == mTrackedUpstreams.end()
           ? std::nullopt
           : std::optional(found->second.mReport.mVersion);
}

std::set<VersionName>
UpstreamSelector::VersionsOf(const ServiceName& aService) const
{
  std::set<VersionName> versions;
  for (const auto& [name, upstream] : mTrackedUpstreams) {
    if (upstream.mReport.mService == aService) {
      versions.insert(upstream.mReport.mVersion);
    }
  }
  return versions;
}

std::optional<Incarnation>
UpstreamSelector::IncarnationOf(const UpstreamName& aName) const
{
  const auto found = mTrackedUpstreams.find(aName);
  return found == mTrackedUpstreams.end()
           ? std::nullopt
           : std::optional(found->second.mReport.mIncarnation);
}

std::optional<ServiceName>
UpstreamSelector::ReadyService(const UpstreamName& aName) const
{
  const auto found = mTrackedUpstreams.find(aName);
  return found != mTrackedUpstreams.end() && AcceptsWork(found->second)
           ? std::optional(found->second.mReport.mService)
           : std::nullopt;
}

std::uint32_t
UpstreamSelector::Slots(const UpstreamName& aName) const
{
  const auto found = mTrackedUpstreams.find(aName);
  return found == mTrackedUpstreams.end() ? 1 : found->second.mReport.mSlots;
}

std::optional<Address>
UpstreamSelector::ReadyAddress(const UpstreamName& aName,
                               Incarnation aIncarnation) const
{
  const auto found = mTrackedUpstreams.find(aName);
  return found != mTrackedUpstreams.end() && AcceptsWork(found->second) &&
             found->second.mReport.mIncarnation == aIncarnation
           ? std::optional(found->second.mReport.mAddress)
           : std::nullopt;
}

bool
UpstreamSelector::IsReady(const UpstreamName& aName) const
{
  const auto found = mTrackedUpstreams.find(aName);
  return found != mTrackedUpstreams.end() && AcceptsWork(found->second);
}

} // namespace peridotspool::gateway
