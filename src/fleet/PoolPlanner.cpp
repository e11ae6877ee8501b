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

/** Reclaimable upstreams that stand in for a lasting one before any load. */
constexpr double kInPlaceOfOne = 2.0;

// Reclaimable upstreams start with empty caches and have to read each prefix
// once, and those of a whole domain may be reclaimed at any time. They never
// cost more than the lasting ones that they replace.
double
InPlaceOfOne(const gateway::ScalingProfile& aScaling)
{
  const auto domains = static_cast<double>(aScaling.mPrices.size());
  const double forLoss = domains < 2 ? 1.0 : domains / (domains - 1);
  const double price = std::max(aScaling.mReclaimablePriceRatio, 0.01);
  return std::max(forLoss, std::min(kInPlaceOfOne, 1.0 / price));
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

// A new holder of the duty hears of running upstreams one by one, as they send
// their heartbeats. Orders for the few that it knew at first took the others
// away: of 90 upstreams 25 were left when the first requests came, and a
// quarter to a third of the first six seconds' worth was lost (PoolPlannerTest
// has the case).
bool
PoolPlanner::Listens(TimePoint aNow) const
{
  return !mLoadSeen && aNow - *mPlansSince < mOptions.mListenFor;
}

// Upstreams are heard over several heartbeats, and with many control replicas
// some of these have no place in the group for seconds: of 140 upstreams 95
// were heard within 1.5 s. What was ordered here is no ground to order more:
// reclaimable ones that come later than a start takes, and lasting ones once
// any were ordered.
void
PoolPlanner::NoteFound(const gateway::ScalingProfile& aScaling,
                       const PoolView& aView,
                       TimePoint aNow)
{
  if (!mLastingOrdered) {
    mFoundLasting = std::max(mFoundLasting, CountOf(aView, false));
  }
  if (aNow - *mPlansSince < aScaling.mBootTime) {
    mFoundReclaimable = std::max(mFoundReclaimable, CountOf(aView, true));
  }
}

std::uint32_t
PoolPlanner::WantedInAll(const gateway::ServiceProfile& aService,
                         const PoolView& aView,
                         TimePoint aNow)
{
  const auto mostInAll = static_cast<std::uint32_t>(
    aService.mScaling->mMax * aService.mScaling->mPrices.size());
  const double byLoad = std::ceil(aView.mRunning / mOptions.mRunningEach);
  auto wanted =
    std::max(mOptions.mLeast,
             static_cast<std::uint32_t>(std::min<double>(mostInAll, byLoad)));
  // Before any load has been seen, what somebody else thought right stays.
  mLoadSeen = mLoadSeen || aView.mRunning >= 1.0;
  if (!mLoadSeen) {
    NoteFound(*aService.mScaling, aView, aNow);
    const double found = std::min<double>(
      mostInAll,
      mFoundReclaimable + mFoundLasting * InPlaceOfOne(*aService.mScaling));
    wanted = std::max({ wanted, mWanted, static_cast<std::uint32_t>(found) });
  }
  if (wanted >= mWanted) {
    mTooManySince.reset();
    mShrunkAt.reset();
    return wanted;
  }
  return Shrunk(wanted, aNow);
}

// Load varies faster than upstreams start and drain, and an upstream that is
// given up takes its cache with it. Shrinking in steps shows the effect of each
// step on the load, and nothing is given up while none could be had again.
std::uint32_t
PoolPlanner::Shrunk(std::uint32_t aWanted, TimePoint aNow)
{
  mTooManySince = mTooManySince.value_or(aNow);
  const Duration since = aNow - *mTooManySince;
  const bool early = mShrunkAt ? aNow - *mShrunkAt < mOptions.mShrinkEach
                               : since < mOptions.mShrinkAfter;
  if (early || (IsDry(aNow) && since < mOptions.mKeepMost)) {
    return mWanted;
  }
  mShrunkAt = aNow;
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
    const std::uint32_t part = std::min(scaling.mMax, (left + rest - 1) / rest);
    aDesired[PoolKey{ open[i], true }] = std::max(part, scaling.mMin);
    left -= std::min(left, part);
  }
  const std::uint32_t lacking = Lacking(aView, aNow);
  PlaceLasting(aView, domains, lacking, scaling.mMax, aDesired);
}

bool
PoolPlanner::IsDry(TimePoint aNow) const
{
  return mRefusedAt && aNow - *mRefusedAt < mOptions.mDryFor;
}

// A start takes longer than the notice of a reclaim. While no reclaimable ones
// can be had, the domain that has most of them therefore counts as lost, and
// what is left has to carry the load.
std::uint32_t
PoolPlanner::LackingNow(const PoolView& aView, TimePoint aNow) const
{
  const auto part = [this](double aPool) {
    return static_cast<std::uint32_t>(std::ceil(mOptions.mLastingPart * aPool));
  };
  const std::uint32_t all = CountOf(aView, true);
  const std::uint32_t needed = part(static_cast<double>(mWanted));
  const std::uint32_t lacking = needed - std::min(needed, all);
  if (!IsDry(aNow)) {
    return lacking;
  }
  std::uint32_t largest = 0;
  for (const auto& [key, ready] : aView.mReady) {
    largest = key.mReclaimable ? std::max(largest, ready) : largest;
  }
  const std::uint32_t forLoad =
    std::min(needed, part(aView.mRunning / mOptions.mRunningEach));
  return std::max(lacking, forLoad - std::min(forLoad, all - largest));
}

// Reclaims come in waves, one domain after the other, and for a while there are
// none to be had anywhere. Lasting upstreams then carry the load; they are
// given up only when reclaimable ones have stood in for them for a while.
std::uint32_t
PoolPlanner::Lacking(const PoolView& aView, TimePoint aNow)
{
  const std::uint32_t lacking = LackingNow(aView, aNow);
  if (lacking >= mLacking) {
    mLacking = lacking;
    mLackingAt = aNow;
  } else if (!mLoadSeen || aNow - mLackingAt >= mOptions.mLastingFor) {
    // Before any load there are no waves: what was found running goes as soon
    // as reclaimable ones are ready in its place.
    mLacking = lacking;
  }
  return mLacking;
}

void
PoolPlanner::PlaceLasting(
  const PoolView& aView,
  const std::vector<std::pair<double, FailureDomain>>& aDomains,
  std::uint32_t aWanted,
  std::uint32_t aMost,
  std::map<PoolKey, std::uint32_t>& aDesired)
{
  // Those that are there already stay first: a start takes seconds.
  for (const auto& [price, domain] : aDomains) {
    const PoolKey lasting{ domain, false };
    aDesired[lasting] = std::min(ReadyOf(aView, lasting), aWanted);
    aWanted -= aDesired[lasting];
  }
  while (aWanted > 0) {
    const std::uint32_t before = aWanted;
    for (const auto& [price, domain] : aDomains) {
      const std::uint32_t both = aDesired[PoolKey{ domain, false }] +
                                 ReadyOf(aView, PoolKey{ domain, true });
      if (aWanted > 0 && both < aMost) {
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
  if (!mPlansSince) {
    mPlansSince = aNow;
  }
  mWanted = WantedInAll(aService, aView, aNow);
  std::map<PoolKey, std::uint32_t> desired;
  Place(aService, aView, aNow, desired);
  for (const auto& [key, count] : desired) {
    Slot& slot = mSlots[key];
    if (!key.mReclaimable && Listens(aNow)) {
      continue;
    }
    if (IsDue(slot,
              ReadyOf(aView, key),
              count,
              aService.mScaling->mBootTime,
              aNow)) {
      slot.mUnderWay = true;
      mLastingOrdered =
        mLastingOrdered || (!key.mReclaimable && count > ReadyOf(aView, key));
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
    mRefusedAt = aRefused ? aNow : mRefusedAt;
    slot.mRefusedUntil =
      aNow + (aRefused ? mOptions.mRefusedFor : std::chrono::milliseconds(500));
  }
}

} // namespace peridotspool::fleet
