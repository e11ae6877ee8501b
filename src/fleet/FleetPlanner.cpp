#include "peridotspool/fleet/FleetPlanner.h"

#include <algorithm>
#include <utility>

namespace peridotspool::fleet {

FleetPlanner::FleetPlanner(FleetOptions aOptions)
  : mOptions(aOptions)
  , mRecord(aOptions.mRecordHalfLife)
  , mBackoff(aOptions.mRefusalBackoff,
             aOptions.mMaxRefusalBackoff,
             aOptions.mRandomSeed)
  , mLastStart(aOptions.mLastStart)
{
}

FleetEffects
FleetPlanner::Step(const FleetEvent& aEvent, TimePoint aNow)
{
  mNow = std::max(mNow, aNow);
  std::visit([this](const auto& aOne) { Handle(aOne); }, aEvent);
  return std::exchange(mEffects, {});
}

std::uint32_t
FleetPlanner::Wanted(const ServiceName& aService) const
{
  const auto found = mServices.find(aService);
  return found == mServices.end() ? 0 : found->second.mWanted;
}

void
FleetPlanner::Handle(const DemandEvent& aEvent)
{
  std::map<ServiceName, Service> services;
  for (const ServiceDemand& demand : aEvent.mDemands) {
    Service& service = services[demand.mService];
    const auto known = mServices.find(demand.mService);
    if (known != mServices.end()) {
      service = known->second;
    }
    service.mDemand = demand;
    service.mWanted =
      std::clamp(service.mWanted,
                 demand.mMinInstances,
                 std::max(demand.mMinInstances, demand.mMaxInstances));
  }
  mServices = std::move(services);
}

void
FleetPlanner::Handle(const OffersEvent& aEvent)
{
  mOffers = aEvent.mOffers;
}

void
FleetPlanner::Handle(const ListedEvent& aEvent)
{
  std::map<InstanceName, InstanceInfo> instances;
  for (const InstanceInfo& info : aEvent.mInstances) {
    InstanceInfo& instance = instances[info.mName];
    instance = info;
    const auto known = mInstances.find(info.mName);
    if (known != mInstances.end() &&
        known->second.mState == InstanceState::kLeaving) {
      instance.mState = InstanceState::kLeaving;
    }
    // The instance is listed, so the response to its start was lost.
    mStarts.erase(info.mStart);
    mUnlisted.erase(info.mName);
  }
  for (const auto& [name, known] : mInstances) {
    if (!instances.contains(name)) {
      HandleUnlisted(known, instances);
    }
  }
  mInstances = std::move(instances);
  mListed = true;
}

// The list may be older than the response to a start. Dropping the new instance
// would start it a second time.
void
FleetPlanner::HandleUnlisted(const InstanceInfo& aInstance,
                             std::map<InstanceName, InstanceInfo>& aListed)
{
  constexpr Duration kListLag = std::chrono::seconds(30);
  const auto unlisted = mUnlisted.find(aInstance.mName);
  if (unlisted != mUnlisted.end() && mNow - unlisted->second < kListLag) {
    aListed[aInstance.mName] = aInstance;
    return;
  }
  mUnlisted.erase(aInstance.mName);
  if (aInstance.mState != InstanceState::kLeaving) {
    mRecord.RecordReclaim(aInstance.mOffer, mNow);
  }
}

void
FleetPlanner::Handle(const StartedEvent& aEvent)
{
  const auto start = mStarts.find(aEvent.mStart);
  if (start == mStarts.end()) {
    return;
  }
  mBackoff.RecordSuccess(start->second.mOffer);
  mInstances.try_emplace(aEvent.mInstance,
                         InstanceInfo{ .mName = aEvent.mInstance,
                                       .mStart = aEvent.mStart,
                                       .mService = start->second.mService,
                                       .mOffer = start->second.mOffer,
                                       .mState = InstanceState::kStarting });
  mUnlisted[aEvent.mInstance] = mNow;
  mStarts.erase(start);
}

void
FleetPlanner::Handle(const StartRefusedEvent& aEvent)
{
  Refuse(aEvent.mStart);
}

void
FleetPlanner::Refuse(StartId aStart)
{
  const auto start = mStarts.find(aStart);
  if (start == mStarts.end()) {
    return;
  }
  mBackoff.RecordRefusal(start->second.mOffer, mNow);
  EmitDecision(
    start->second.mService,
    "decision=leave-offer domain=" + start->second.mOffer.mDomain.Value() +
      " reason=start-refused");
  mStarts.erase(start);
}

void
FleetPlanner::Handle(const ServingEvent& aEvent)
{
  const auto instance = mInstances.find(aEvent.mInstance);
  if (instance != mInstances.end() &&
      instance->second.mState == InstanceState::kStarting) {
    instance->second.mState = InstanceState::kServing;
  }
}

void
FleetPlanner::Handle(const ReclaimNoticeEvent& aEvent)
{
  const auto instance = mInstances.find(aEvent.mInstance);
  if (instance == mInstances.end() ||
      instance->second.mState == InstanceState::kLeaving) {
    return;
  }
  instance->second.mState = InstanceState::kLeaving;
  mRecord.RecordReclaim(instance->second.mOffer, mNow);
}

void
FleetPlanner::Handle(const InstanceGoneEvent& aEvent)
{
  const auto instance = mInstances.find(aEvent.mInstance);
  if (instance == mInstances.end()) {
    return;
  }
  // The instance was reclaimed and its notice was lost.
  if (instance->second.mState != InstanceState::kLeaving) {
    mRecord.RecordReclaim(instance->second.mOffer, mNow);
  }
  mInstances.erase(instance);
}

void
FleetPlanner::Handle(const DrainedEvent& aEvent)
{
  const auto instance = mInstances.find(aEvent.mInstance);
  if (instance != mInstances.end() &&
      instance->second.mState == InstanceState::kLeaving) {
    mEffects.emplace_back(StopInstanceEffect{ aEvent.mInstance });
  }
}

// A single report neither adds nor removes an instance: latency must have been
// above the target, or below half of it, for a while. The gap between the two
// thresholds prevents oscillation.
void
FleetPlanner::Handle(const LatencyEvent& aEvent)
{
  const auto found = mServices.find(aEvent.mService);
  if (found == mServices.end()) {
    return;
  }
  Service& service = found->second;
  const Duration target = service.mDemand.mLatencyTarget;
  const auto since = [&](std::optional<TimePoint>& aSince, bool aHolds) {
    aSince = aHolds ? std::optional(aSince.value_or(mNow)) : std::nullopt;
    return aSince ? mNow - *aSince : Duration(0);
  };
  const Duration slow = since(service.mSlowSince, aEvent.mFirstToken > target);
  const Duration fast =
    since(service.mFastSince, aEvent.mFirstToken < target / 2);
  if (slow >= mOptions.mGrowAfter &&
      service.mWanted < service.mDemand.mMaxInstances) {
    ++service.mWanted;
    service.mSlowSince = mNow;
    EmitDecision(aEvent.mService, "decision=grow reason=latency-target-missed");
  }
  if (fast >= mOptions.mShrinkAfter &&
      service.mWanted > service.mDemand.mMinInstances) {
    --service.mWanted;
    service.mFastSince = mNow;
    EmitDecision(aEvent.mService,
                 "decision=shrink reason=latency-target-exceeded");
  }
}

void
FleetPlanner::Handle(const FleetTickEvent&)
{
  RecordUse();
  ExpireStarts();
  // Without the cloud's list, the instances of an earlier leader would be
  // started a second time. Before mActAfter that leader may still be starting
  // some.
  if (!mListed || mNow < mOptions.mActAfter) {
    return;
  }
  StartMissing();
  for (auto& [name, service] : mServices) {
    DrainSurplus(service);
  }
}

void
FleetPlanner::RecordUse()
{
  const Duration passed = mNow - mUseRecordedAt.value_or(mNow);
  mUseRecordedAt = mNow;
  const double hours =
    std::chrono::duration<double, std::ratio<3600>>(passed).count();
  for (const auto& [name, instance] : mInstances) {
    if (instance.mOffer.mKind == PurchaseKind::kReclaimable) {
      mRecord.RecordHours(instance.mOffer, hours, mNow);
    }
  }
}

void
FleetPlanner::ExpireStarts()
{
  std::vector<StartId> late;
  for (const auto& [id, start] : mStarts) {
    if (mNow - start.mRequestedAt >= mOptions.mStartTimeout) {
      late.push_back(id);
    }
  }
  std::for_each(late.begin(), late.end(), [&](StartId aId) { Refuse(aId); });
}

void
FleetPlanner::EmitDecision(const ServiceName& aService, std::string aReason)
{
  mEffects.emplace_back(DecisionEffect{ aService, std::move(aReason) });
}

} // namespace peridotspool::fleet
