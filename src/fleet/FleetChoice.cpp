// Selects the instances that the planner starts and drains.

#include "peridotspool/fleet/FleetPlanner.h"

#include <algorithm>
#include <cmath>

namespace peridotspool::fleet {

// When the cloud reclaims many instances at once, it also refuses starts.
// Requesting all missing instances in every round would make the cloud throttle
// all calls. Therefore each missing instance has one pending start, the total
// is bounded, refused offers back off exponentially, and the service with the
// largest shortage goes first.
void
FleetPlanner::StartMissing()
{
  const auto shortage = [&](const Service& aService) {
    const double wanted = std::max<double>(1.0, aService.mWanted);
    return 1.0 -
           static_cast<double>(CountInstances(aService.mDemand.mService)) /
             wanted;
  };
  std::vector<Service*> candidates;
  for (auto& [name, service] : mServices) {
    candidates.push_back(&service);
  }
  while (!candidates.empty() && mStarts.size() < mOptions.mMaxStarting) {
    const auto neediest = std::max_element(
      candidates.begin(), candidates.end(), [&](auto* aLeft, auto* aRight) {
        return shortage(*aLeft) < shortage(*aRight);
      });
    if (shortage(**neediest) <= 0.0) {
      return;
    }
    if (!StartOne(**neediest)) {
      candidates.erase(neediest);
    }
  }
}

bool
FleetPlanner::StartOne(Service& aService)
{
  const ServiceName& name = aService.mDemand.mService;
  const Offer* offer = BestOffer(aService);
  if (offer == nullptr) {
    return false;
  }
  mLastStart = mLastStart.Next();
  mStarts[mLastStart] =
    Start{ .mService = name, .mOffer = offer->mKey, .mRequestedAt = mNow };
  mEffects.emplace_back(StartEffect{ mLastStart, name, offer->mKey });
  EmitDecision(
    name,
    "decision=start domain=" + offer->mKey.mDomain.Value() + " kind=" +
      (offer->mKey.mKind == PurchaseKind::kOnDemand ? "on-demand"
                                                    : "reclaimable") +
      " score=" + std::to_string(Score(aService, *offer)) +
      " holds=" + std::to_string(CountInstances(name)) +
      " wanted=" + std::to_string(aService.mWanted));
  return true;
}

/**
 * Counts the service's instances that are not leaving, and its pending starts.
 */
std::size_t
FleetPlanner::CountInstances(const ServiceName& aService) const
{
  const auto instances =
    std::count_if(mInstances.begin(), mInstances.end(), [&](const auto& aPair) {
      return aPair.second.mService == aService &&
             aPair.second.mState != InstanceState::kLeaving;
    });
  const auto starts =
    std::count_if(mStarts.begin(), mStarts.end(), [&](const auto& aPair) {
      return aPair.second.mService == aService;
    });
  return static_cast<std::size_t>(instances + starts);
}

std::size_t
FleetPlanner::CountInDomain(const ServiceName& aService,
                            const FailureDomain& aDomain) const
{
  const auto instances =
    std::count_if(mInstances.begin(), mInstances.end(), [&](const auto& aPair) {
      return aPair.second.mService == aService &&
             aPair.second.mOffer.mDomain == aDomain &&
             aPair.second.mState != InstanceState::kLeaving;
    });
  const auto starts =
    std::count_if(mStarts.begin(), mStarts.end(), [&](const auto& aPair) {
      return aPair.second.mService == aService &&
             aPair.second.mOffer.mDomain == aDomain;
    });
  return static_cast<std::size_t>(instances + starts);
}

bool
FleetPlanner::FitsDomainShare(const Service& aService,
                              const OfferKey& aOffer) const
{
  const double maxCount = std::ceil(aService.mDemand.mMaxDomainShare *
                                    static_cast<double>(aService.mWanted));
  const auto count = CountInDomain(aService.mDemand.mService, aOffer.mDomain);
  return static_cast<double>(count + 1) <= std::max(1.0, maxCount);
}

// A refused offer is probed with a single start first. Requesting all missing
// instances at once would have all of them refused again.
bool
FleetPlanner::MayTry(const OfferKey& aOffer) const
{
  const bool isPending =
    std::any_of(mStarts.begin(), mStarts.end(), [&](const auto& aPair) {
      return aPair.second.mOffer == aOffer;
    });
  return mBackoff.IsOpen(aOffer, mNow) &&
         !(isPending && mBackoff.WasRefused(aOffer));
}

const Offer*
FleetPlanner::BestOffer(const Service& aService) const
{
  const Offer* best = nullptr;
  bool bestFits = false;
  for (const Offer& offer : mOffers) {
    if (offer.mKey.mClass != aService.mDemand.mClass || !MayTry(offer.mKey)) {
      continue;
    }
    // Exceeding the share of one domain is better than having too few
    // instances.
    const bool fits = FitsDomainShare(aService, offer.mKey);
    const bool better =
      best == nullptr || (fits && !bestFits) ||
      (fits == bestFits && Score(aService, offer) < Score(aService, *best));
    if (better) {
      best = &offer;
      bestFits = fits;
    }
  }
  return best;
}

/**
 * Returns the total cost to the service of an instance of this offer, per hour.
 */
double
FleetPlanner::Score(const Service& aService, const Offer& aOffer) const
{
  const ServiceDemand& demand = aService.mDemand;
  const double reclaims = mRecord.RatePerHour(aOffer.mKey, mNow);
  const double count =
    static_cast<double>(CountInDomain(demand.mService, aOffer.mKey.mDomain));
  const double share = count / std::max<double>(1.0, aService.mWanted);
  const auto& preferred = demand.mPreferredDomains;
  const bool isPreferred =
    std::find(preferred.begin(), preferred.end(), aOffer.mKey.mDomain) !=
    preferred.end();
  return demand.mCostWeight * aOffer.mPricePerHour +
         demand.mLatencyWeight * reclaims * mOptions.mReclaimCost +
         mOptions.mSpreadCost * share -
         (isPreferred ? mOptions.mPreferenceValue : 0.0);
}

double
FleetPlanner::PricePerHour(const OfferKey& aOffer) const
{
  const auto offer =
    std::find_if(mOffers.begin(), mOffers.end(), [&](const Offer& aOne) {
      return aOne.mKey == aOffer;
    });
  return offer == mOffers.end() ? 0.0 : offer->mPricePerHour;
}

// After a wave of reclaims, reclaimed instances return while their replacements
// are running too. The most expensive instance is drained, one at a time, and
// only after the surplus has lasted. Otherwise new instances would be released
// just before the next wave needs them.
void
FleetPlanner::DrainSurplus(Service& aService)
{
  const ServiceName& name = aService.mDemand.mService;
  std::vector<const InstanceInfo*> serving;
  for (const auto& [instance, info] : mInstances) {
    if (info.mService == name && info.mState == InstanceState::kServing) {
      serving.push_back(&info);
    }
  }
  if (serving.size() <= aService.mWanted) {
    aService.mSurplusSince.reset();
    return;
  }
  aService.mSurplusSince = aService.mSurplusSince.value_or(mNow);
  if (mNow - *aService.mSurplusSince < mOptions.mSurplusDelay) {
    return;
  }
  const auto costliest = *std::max_element(
    serving.begin(), serving.end(), [&](const auto* aLeft, const auto* aRight) {
      return PricePerHour(aLeft->mOffer) < PricePerHour(aRight->mOffer);
    });
  aService.mSurplusSince = mNow;
  mInstances[costliest->mName].mState = InstanceState::kLeaving;
  mEffects.emplace_back(DrainInstanceEffect{ costliest->mName });
  EmitDecision(name,
               "decision=drain instance=" + costliest->mName.Value() +
                 " reason=surplus wanted=" + std::to_string(aService.mWanted));
}

} // namespace peridotspool::fleet
