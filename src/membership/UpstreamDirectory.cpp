#include "peridotspool/membership/UpstreamDirectory.h"

#include <algorithm>

namespace peridotspool::membership {

namespace {

constexpr Duration kForgetAfter = std::chrono::seconds(60);

} // namespace

std::vector<UpstreamName>
UpstreamDirectory::ApplyPush(const Address& aFrom,
                             const RegistryPush& aPush,
                             TimePoint aNow)
{
  RegistryState& registry = mRegistries[aFrom];
  if (registry.mRegistryIncarnation != aPush.mRegistryIncarnation) {
    if (aPush.mFrom != 0) {
      return {};
    }
    // A registry that restarted knows nothing yet: what its earlier life knew
    // stays known here until the upstreams have spoken to somebody.
    registry =
      RegistryState{ .mRegistryIncarnation = aPush.mRegistryIncarnation,
                     .mVersion = 0,
                     .mReceivesHeartbeats = {} };
  }
  if (aPush.mFrom > registry.mVersion || aPush.mTo <= registry.mVersion) {
    return {};
  }
  registry.mVersion = aPush.mTo;
  std::vector<UpstreamName> changed;
  for (const RegistryRow& row : aPush.mRows) {
    const UpstreamName& name = row.mReport.mName;
    RecordDeregistration(row, aNow);
    bool merged = false;
    if (UpdateIncarnation(row.mReport)) {
      registry.mReceivesHeartbeats[name] = !row.mSilent;
      merged = Merge(row, aNow);
    }
    const bool ended = ApplyDeregistration(name);
    if (UpdateSilence(name, aNow) || merged || ended) {
      changed.push_back(name);
    }
  }
  return changed;
}

// Registries hear of a new incarnation one after the other. What those that
// still speak of an earlier one say is over; returns true iff the report
// counts.
bool
UpstreamDirectory::UpdateIncarnation(const UpstreamReport& aReport)
{
  const auto found = mKnown.find(aReport.mName);
  if (found == mKnown.end()) {
    return true;
  }
  const Incarnation known = found->second.mReport.mIncarnation;
  if (aReport.mIncarnation <= known) {
    return aReport.mIncarnation == known;
  }
  mKnown.erase(found);
  mInactiveSince.erase(aReport.mName);
  for (auto& [address, registry] : mRegistries) {
    registry.mReceivesHeartbeats.erase(aReport.mName);
  }
  return true;
}

void
UpstreamDirectory::RecordDeregistration(const RegistryRow& aRow, TimePoint aNow)
{
  if (aRow.mDeregistrationAgeMs) {
    const TimePoint deregisteredAt =
      aNow - std::chrono::milliseconds(*aRow.mDeregistrationAgeMs);
    TimePoint& last = mDeregistrations[aRow.mReport.mName];
    last = std::max(last, deregisteredAt);
  }
}

// The registry that took the goodbye may never have heard of the incarnation
// that said it, and may say the same again, to a subscriber that starts, after
// the next incarnation has begun. Only the order of the two moments tells.
bool
UpstreamDirectory::ApplyDeregistration(const UpstreamName& aName)
{
  const auto deregistration = mDeregistrations.find(aName);
  if (deregistration == mDeregistrations.end()) {
    return false;
  }
  KnownUpstream& known = mKnown.at(aName);
  if (known.mReport.mStage == UpstreamStage::kGone ||
      known.mSince >= deregistration->second + kLateHeartbeatWindow) {
    return false;
  }
  known.mReport.mStage = UpstreamStage::kGone;
  return true;
}

bool
UpstreamDirectory::Merge(const RegistryRow& aRow, TimePoint aNow)
{
  const UpstreamReport& report = aRow.mReport;
  const TimePoint since =
    aNow - std::chrono::milliseconds(aRow.mIncarnationAgeMs);
  const auto [place, added] = mKnown.try_emplace(report.mName);
  UpstreamReport& known = place->second.mReport;
  if (added) {
    known = report;
    place->second.mSince = since;
    return true;
  }
  place->second.mSince = std::min(place->second.mSince, since);
  const UpstreamReport before = known;
  // A goodbye that carries only the name must not erase the rest.
  if (report.mSequence >= known.mSequence && !report.mAddress.mHost.empty()) {
    known = report;
  }
  known.mStage = std::max(before.mStage, report.mStage);
  return known != before;
}

bool
UpstreamDirectory::UpdateSilence(const UpstreamName& aName, TimePoint aNow)
{
  const bool heard =
    std::any_of(mRegistries.begin(), mRegistries.end(), [&](const auto& aPair) {
      const auto row = aPair.second.mReceivesHeartbeats.find(aName);
      return row != aPair.second.mReceivesHeartbeats.end() && row->second;
    });
  KnownUpstream& known = mKnown.at(aName);
  const bool changed = known.mSilent == heard;
  known.mSilent = !heard;
  if (known.mSilent || known.mReport.mStage == UpstreamStage::kGone) {
    mInactiveSince.try_emplace(aName, aNow);
  } else {
    mInactiveSince.erase(aName);
  }
  return changed;
}

RegistryPull
UpstreamDirectory::PullFor(const Address& aRegistry) const
{
  const auto registry = mRegistries.find(aRegistry);
  if (registry == mRegistries.end()) {
    return RegistryPull{};
  }
  return RegistryPull{ .mRegistryIncarnation =
                         registry->second.mRegistryIncarnation,
                       .mVersion = registry->second.mVersion };
}

std::vector<UpstreamName>
UpstreamDirectory::Forget(TimePoint aNow)
{
  std::vector<UpstreamName> forgotten;
  for (const auto& [name, since] : mInactiveSince) {
    if (aNow - since > kForgetAfter) {
      forgotten.push_back(name);
    }
  }
  std::erase_if(mDeregistrations, [&](const auto& aPair) {
    return aNow - aPair.second > kForgetAfter;
  });
  for (const UpstreamName& name : forgotten) {
    mInactiveSince.erase(name);
    mKnown.erase(name);
    mDeregistrations.erase(name);
    for (auto& [address, registry] : mRegistries) {
      registry.mReceivesHeartbeats.erase(name);
    }
  }
  return forgotten;
}

const KnownUpstream*
UpstreamDirectory::Find(const UpstreamName& aName) const
{
  const auto found = mKnown.find(aName);
  return found == mKnown.end() ? nullptr : &found->second;
}

} // namespace peridotspool::membership
