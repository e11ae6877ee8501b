#include "peridotspool/fleet/PoolPlanner.h"

#include <algorithm>
#include <cmath>

namespace peridotspool::fleet {

namespace {

std::uint32_t
ReadyOf(const PoolView& aView, const PoolKey& aKey)
{
  const auto found = aView.mReady.find(aKey);
  return found == aView.mReady.end() ? 0 : found->second;
}

} // namespace

PoolPlanner::PoolPlanner(PoolOptions aOptions)
  : mOptions(aOptions)
{
}

// Load comes in waves that are shorter than a start and a drain; following them
// down would give up memories that are needed again seconds later.
std::uint32_t
PoolPlanner::WantedInAll(const gateway::ServiceProfile& aService,
                         const PoolView& aView,
                         TimePoint aNow)
{
  const double slots = aService.mEngine ? aService.mEngine->mSlots : 1.0;
  const double byLoad =
    std::ceil(aView.mRunning / std::max(1.0, slots * mOptions.mFullness));
  const auto wanted =
    std::max(mOptions.mLeast, static_cast<std::uint32_t>(byLoad));
  if (wanted >= mWanted) {
    mTooManySince.reset();
    return wanted;
  }
  if (!mTooManySince) {
    mTooManySince = aNow;
  }
  return aNow - *mTooManySince >= mOptions.mShrinkAfter ? wanted : mWanted;
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
  // What is refused in one domain is spread over the others; what they have
  // already stays.
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
    const std::uint32_t part =
      std::min(scaling.mMax, (left + rest - 1) / rest);
    aDesired[PoolKey{ open[i], true }] = std::max(part, scaling.mMin);
    left -= std::min(left, part);
  }
  std::uint32_t reclaimable = 0;
  for (const auto& [key, ready] : aView.mReady) {
    reclaimable += key.mReclaimable ? ready : 0;
  }
  // Lasting ones make up for what reclaimable ones lack at the moment.
  std::uint32_t lacking = mWanted - std::min(mWanted, reclaimable);
  for (const auto& [price, domain] : domains) {
    const PoolKey lasting{ domain, false };
    const std::uint32_t has = ReadyOf(aView, lasting);
    const std::uint32_t kept = std::min(has, lacking);
    aDesired[lasting] = kept;
    lacking -= kept;
  }
}

bool
PoolPlanner::IsDue(const Slot& aSlot,
                   std::uint32_t aReady,
                   std::uint32_t aDesired,
                   Duration aBoot,
                   TimePoint aNow) const
{
  if (aSlot.mUnderWay || aSlot.mRefusedUntil > aNow) {
    return false;
  }
  if (aSlot.mOrdered != aDesired) {
    return aSlot.mOrdered || aReady != aDesired;
  }
  return aReady != aDesired &&
         aNow - aSlot.mOrderedAt >= aBoot + mOptions.mPatience;
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
  mWanted = WantedInAll(aService, aView, aNow);
  std::map<PoolKey, std::uint32_t> desired;
  Place(aService, aView, aNow, desired);
  for (const auto& [key, count] : desired) {
    Slot& slot = mSlots[key];
    if (IsDue(slot,
              ReadyOf(aView, key),
              count,
              aService.mScaling->mBoot,
              aNow)) {
      slot.mUnderWay = true;
      orders.push_back({ .mService = aService.mName,
                         .mDomain = key.mDomain,
                         .mReclaimable = key.mReclaimable,
                         .mDesired = count });
    }
  }
  return orders;
}

void
PoolPlanner::TakeResult(const PoolOrder& aOrder,
                        bool aDone,
                        bool aRefused,
                        TimePoint aNow)
{
  Slot& slot = mSlots[PoolKey{ aOrder.mDomain, aOrder.mReclaimable }];
  slot.mUnderWay = false;
  if (aDone) {
    slot.mOrdered = aOrder.mDesired;
    slot.mOrderedAt = aNow;
  } else {
    slot.mRefusedUntil = aNow + (aRefused ? mOptions.mRefusedFor
                                          : std::chrono::milliseconds(500));
  }
}

} // namespace peridotspool::fleet
