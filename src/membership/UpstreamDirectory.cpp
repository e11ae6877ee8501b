#include "peridotspool/membership/UpstreamDirectory.h"

#include <algorithm>

namespace peridotspool::membership {

namespace {

/** How long gone or silent upstreams are retained. */
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
    // A restarted registry is empty. Upstreams learned from its previous
    // incarnation are kept until they have sent a heartbeat to some registry.
    registry =
      RegistryState{ .mRegistryIncarnation = aPush.mRegistryIncarnation,
                     .mVersion = 0,
                     .mLastSentAt = 0,
                     .mReceivesHeartbeats = {} };
  }
  registry.mLastSentAt = aPush.mSentAt;
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

// Registries learn of a new incarnation at different times. Reports of an
// earlier incarnation are outdated and ignored. The first report of a new one
// discards the state of the previous incarnation.
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

// The registry that received the deregistration may not know the incarnation
// that sent it, and may send the deregistration again, to a subscriber that has
// just started, after the next incarnation has begun. Which incarnation it ends
// can be determined only by comparing the time of the deregistration with the
// time when the incarnation was first reported.
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
  // A deregistration that carries only the name must not clear other fields.
  if (report.mSequence >= known.mSequence && !report.mAddress.mHost.empty()) {
    known = report;
  }
  known.mStage = std::max(before.mStage, report.mStage);
  return known != before;
}

bool
UpstreamDirectory::UpdateSilence(const UpstreamName& aName, TimePoint aNow)
{
  const bool receivesHeartbeats =
    std::any_of(mRegistries.begin(), mRegistries.end(), [&](const auto& aPair) {
      const auto row = aPair.second.mReceivesHeartbeats.find(aName);
      return row != aPair.second.mReceivesHeartbeats.end() && row->second;
    });
  KnownUpstream& known = mKnown.at(aName);
  const bool changed = known.mSilent == receivesHeartbeats;
  known.mSilent = !receivesHeartbeats;
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
                       .mVersion = registry->second.mVersion,
                       .mLastSentAt = registry->second.mLastSentAt };
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
