#include "peridotspool/fleet/PoolPlanner.h"

#include <algorithm>
#include <cmath>

namespace peridotspool::fleet {

namespace {

std::uint32_t
ReadyOf(const PoolView& aView, const PoolKey& aKey)
{
  const auto discovered = aView.mReady.find(aKey);
  return discovered == aView.mReady.end() ? 0 : discovered->second;
}

/**
 * Maximum number of reclaimable upstreams that replace an on-demand one before
 * any load.
 */
constexpr double kMaxReclaimablePerOnDemand = 2.0;

// Reclaimable upstreams start with empty caches and have to prefill each prefix
// once, and all those of a domain may be reclaimed at any time. Therefore more
// than one replaces an on-demand upstream, but together they never cost more
// than it.
double
ReclaimablePerOnDemand(const gateway::ScalingProfile& aScaling)
{
  const auto domains = static_cast<double>(aScaling.mPrices.size());
  const double forLoss = domains < 2 ? 1.0 : domains / (domains - 1);
  const double price = std::max(aScaling.mReclaimablePriceRatio, 0.01);
  return std::max(forLoss, std::min(kMaxReclaimablePerOnDemand, 1.0 / price));
}

std::uint32_t
CountOf(const PoolView& aView, bool aReclaimable)
{
  std::uint32_t count = 0;
  for (const auto& [key, ready] : aView.mReady) {
    count += key.mReclaimable == aReclaimable ? ready : 0;
  }
  return count;
}

} // namespace

PoolPlanner::PoolPlanner(PoolOptions aOptions)
  : mOptions(aOptions)
{
}

// A new leader discovers running upstreams one by one from their heartbeats.
// Ordering only as many as were known at first released the others: of 90
// upstreams 25 were left when the first requests arrived, and a quarter to a
// third of the value of the first six seconds was lost (PoolPlannerTest covers
// this case).
bool
PoolPlanner::IsObserving(TimePoint aNow) const
{
  return !mLoadSeen && aNow - *mPlanningSince < mOptions.mObservationPeriod;
}

// Upstreams are discovered over several heartbeats, and with many control
// replicas some of those are not yet members of the group for seconds: of 140
// upstreams 95 were discovered within 1.5 s. Upstreams that this planner
// ordered must not raise the count, so reclaimable ones are ignored once a
// start could have completed, and on-demand ones once any were ordered.
void
PoolPlanner::RecordDiscovered(const gateway::ScalingProfile& aScaling,
                              const PoolView& aView,
                              TimePoint aNow)
{
  if (!mOnDemandOrdered) {
    mDiscoveredOnDemand = std::max(mDiscoveredOnDemand, CountOf(aView, false));
  }
  if (aNow - *mPlanningSince < aScaling.mBootTime) {
    mDiscoveredReclaimable =
      std::max(mDiscoveredReclaimable, CountOf(aView, true));
  }
}

// A limited upstream runs what its limit lets through, and doesn't take its
// share of the rest.
double
PoolPlanner::UpstreamsForLoad(const PoolView& aView) const
{
  const double rest = std::max(0.0, aView.mRunning - aView.mRunningAtLimited);
  const double withLimited =
    aView.mLimited + std::ceil(rest / mOptions.mTargetConcurrency);
  return std::max(std::ceil(aView.mRunning / mOptions.mTargetConcurrency),
                  withLimited);
}

std::uint32_t
PoolPlanner::TotalWanted(const gateway::ServiceProfile& aService,
                         const PoolView& aView,
                         TimePoint aNow)
{
  const auto maxTotal = static_cast<std::uint32_t>(
    aService.mScaling->mMax * aService.mScaling->mPrices.size());
  const double byLoad = UpstreamsForLoad(aView);
  auto wanted =
    std::max(mOptions.mMinUpstreams,
             static_cast<std::uint32_t>(std::min<double>(maxTotal, byLoad)));
  // Until there is load, the pool keeps the size that was found.
  mLoadSeen = mLoadSeen || aView.mRunning >= 1.0;
  if (!mLoadSeen) {
    RecordDiscovered(*aService.mScaling, aView, aNow);
    const double discovered = std::min<double>(
      maxTotal,
      mDiscoveredReclaimable +
        mDiscoveredOnDemand * ReclaimablePerOnDemand(*aService.mScaling));
    wanted =
      std::max({ wanted, mWanted, static_cast<std::uint32_t>(discovered) });
  }
  if (wanted >= mWanted) {
    mExcessSince.reset();
    mLastShrinkAt.reset();
    return wanted;
  }
  return ShrinkTarget(wanted, aNow);
}

// Load varies faster than upstreams start and drain, and releasing an upstream
// loses its cache. Shrinking in steps shows the effect of each step on the
// load. Nothing is released during a capacity shortage, because it could not be
// replaced.
std::uint32_t
PoolPlanner::ShrinkTarget(std::uint32_t aWanted, TimePoint aNow)
{
  mExcessSince = mExcessSince.value_or(aNow);
  const Duration since = aNow - *mExcessSince;
  const bool early = mLastShrinkAt
                       ? aNow - *mLastShrinkAt < mOptions.mShrinkInterval
                       : since < mOptions.mShrinkAfter;
  if (early || (HasShortage(aNow) && since < mOptions.mMaxShrinkDelay)) {
    return mWanted;
  }
  mLastShrinkAt = aNow;
  return std::max(aWanted, mWanted / 2);
}

void
PoolPlanner::Place(const gateway::ServiceProfile& aService,
                   const PoolView& aView,
                   TimePoint aNow,
                   std::map<PoolKey, std::uint32_t>& aDesired)
{
  const gateway::ScalingProfile& scaling = *aService.mScaling;
  std::vector<std::pair<double, FailureDomain>> domains;
  for (const auto& [domain, price] : scaling.mPrices) {
    domains.emplace_back(price, domain);
  }
  std::sort(domains.begin(), domains.end());
  const auto refused = [&](const FailureDomain& aDomain, bool aReclaimable) {
    return mSlots[PoolKey{ aDomain, aReclaimable }].mRefusedUntil > aNow;
  };
  // The share of a refused domain is spread over the others; its running
  // upstreams are retained.
  std::vector<FailureDomain> open;
  std::uint32_t left = mWanted;
  for (const auto& [price, domain] : domains) {
    if (refused(domain, true)) {
      const std::uint32_t has = ReadyOf(aView, PoolKey{ domain, true });
      aDesired[PoolKey{ domain, true }] = has;
      left -= std::min(left, has);
    } else {
      open.push_back(domain);
    }
  }
  for (std::size_t i = 0; i < open.size(); ++i) {
    const auto rest = static_cast<std::uint32_t>(open.size() - i);
    const std::uint32_t part = std::min(scaling.mMax, (left + rest - 1) / rest);
    aDesired[PoolKey{ open[i], true }] = std::max(part, scaling.mMin);
    left -= std::min(left, part);
  }
  const std::uint32_t need = OnDemandNeed(aView, aNow);
  PlaceOnDemand(aView, domains, need, scaling.mMax, aDesired);
}

bool
PoolPlanner::HasShortage(TimePoint aNow) const
{
  return mRefusedAt && aNow - *mRefusedAt < mOptions.mShortageHold;
}

// A start takes longer than the notice of a reclaim. During a capacity
// shortage, the domain with the most reclaimable upstreams therefore counts as
// lost, and the remaining ones have to carry the load.
std::uint32_t
PoolPlanner::CurrentOnDemandNeed(const PoolView& aView, TimePoint aNow) const
{
  const auto part = [this](double aPool) {
    return static_cast<std::uint32_t>(
      std::ceil(mOptions.mOnDemandShare * aPool));
  };
  const std::uint32_t all = CountOf(aView, true);
  const std::uint32_t needed = part(static_cast<double>(mWanted));
  const std::uint32_t need = needed - std::min(needed, all);
  if (!HasShortage(aNow)) {
    return need;
  }
  std::uint32_t largest = 0;
  for (const auto& [key, ready] : aView.mReady) {
    largest = key.mReclaimable ? std::max(largest, ready) : largest;
  }
  const std::uint32_t forLoad =
    std::min(needed, part(aView.mRunning / mOptions.mTargetConcurrency));
  return std::max(need, forLoad - std::min(forLoad, all - largest));
}

// Reclaims arrive in waves, one domain after another, and for a while no
// reclaimable capacity is available anywhere. On-demand upstreams then carry
// the load. They are released only after reclaimable ones have replaced them
// for a while.
std::uint32_t
PoolPlanner::OnDemandNeed(const PoolView& aView, TimePoint aNow)
{
  const std::uint32_t need = CurrentOnDemandNeed(aView, aNow);
  if (need >= mOnDemandNeed) {
    mOnDemandNeed = need;
    mOnDemandNeededAt = aNow;
  } else if (!mLoadSeen ||
             aNow - mOnDemandNeededAt >= mOptions.mMinOnDemandTime) {
    // Before any load there are no waves of reclaims, so on-demand upstreams
    // that were found running are released as soon as reclaimable ones are
    // ready in their place.
    mOnDemandNeed = need;
  }
  return mOnDemandNeed;
}

void
PoolPlanner::PlaceOnDemand(
  const PoolView& aView,
  const std::vector<std::pair<double, FailureDomain>>& aDomains,
  std::uint32_t aWanted,
  std::uint32_t aMax,
  std::map<PoolKey, std::uint32_t>& aDesired)
{
  // Running upstreams are retained first, because a start takes seconds.
  for (const auto& [price, domain] : aDomains) {
    const PoolKey onDemand{ domain, false };
    aDesired[onDemand] = std::min(ReadyOf(aView, onDemand), aWanted);
    aWanted -= aDesired[onDemand];
  }
  while (aWanted > 0) {
    const std::uint32_t before = aWanted;
    for (const auto& [price, domain] : aDomains) {
      const std::uint32_t both = aDesired[PoolKey{ domain, false }] +
                                 ReadyOf(aView, PoolKey{ domain, true });
      if (aWanted > 0 && both < aMax) {
        ++aDesired[PoolKey{ domain, false }];
        --aWanted;
      }
    }
    if (aWanted == before) {
      return;
    }
  }
}

bool
PoolPlanner::IsOrderDue(const Slot& aSlot,
                        std::uint32_t aReady,
                        std::uint32_t aDesired,
                        Duration aBoot,
                        TimePoint aNow) const
{
  if (aSlot.mOrderPending || aSlot.mRefusedUntil > aNow) {
    return false;
  }
  if (aSlot.mOrdered != aDesired) {
    return aSlot.mOrdered || aReady != aDesired;
  }
  return aReady != aDesired &&
         aNow - aSlot.mOrderedAt >= aBoot + mOptions.mOrderTimeout;
}

std::vector<PoolOrder>
PoolPlanner::Plan(const gateway::ServiceProfile& aService,
                  const PoolView& aView,
                  TimePoint aNow)
{
  std::vector<PoolOrder> orders;
  if (!aService.mScaling) {
    return orders;
  }
  if (!mPlanningSince) {
    mPlanningSince = aNow;
  }
  mWanted = TotalWanted(aService, aView, aNow);
  std::map<PoolKey, std::uint32_t> desired;
  Place(aService, aView, aNow, desired);
  for (const auto& [key, count] : desired) {
    Slot& slot = mSlots[key];
    if (!key.mReclaimable && IsObserving(aNow)) {
      continue;
    }
    if (IsOrderDue(slot,
                   ReadyOf(aView, key),
                   count,
                   aService.mScaling->mBootTime,
                   aNow)) {
      slot.mOrderPending = true;
      mOnDemandOrdered =
        mOnDemandOrdered || (!key.mReclaimable && count > ReadyOf(aView, key));
      orders.push_back({ .mService = aService.mName,
                         .mDomain = key.mDomain,
                         .mReclaimable = key.mReclaimable,
                         .mDesired = count });
    }
  }
  return orders;
}

void
PoolPlanner::HandleResult(const PoolOrder& aOrder,
                          bool aDone,
                          bool aRefused,
                          TimePoint aNow)
{
  Slot& slot = mSlots[PoolKey{ aOrder.mDomain, aOrder.mReclaimable }];
  slot.mOrderPending = false;
  if (aDone) {
    slot.mOrdered = aOrder.mDesired;
    slot.mOrderedAt = aNow;
  } else {
    mRefusedAt = aRefused ? aNow : mRefusedAt;
    slot.mRefusedUntil = aNow + (aRefused ? mOptions.mRefusedOrderBackoff
                                          : std::chrono::milliseconds(500));
  }
}

} // namespace peridotspool::fleet
