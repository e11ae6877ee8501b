// Which instances the planner starts and drains.

#include "peridotspool/fleet/FleetPlanner.h"

#include <algorithm>
#include <cmath>

namespace peridotspool::fleet {

// A wave of reclaims leaves many instances missing at once, while the cloud
// refuses starts. Asking for all of them in every round would be a storm that
// the cloud answers with throttling. So each missing instance has one start
// under way, all together are bounded, a refused offer is left alone for longer
// each time, and the service that is shortest goes first.
void
FleetPlanner::StartMissing()
{
  const auto shortage = [&](const Service& aService) {
    const double wanted = std::max<double>(1.0, aService.mWanted);
    return 1.0 - static_cast<double>(Holds(aService.mDemand.mService)) / wanted;
  };
  std::vector<Service*> open;
  for (auto& [name, service] : mServices) {
    open.push_back(&service);
  }
  while (!open.empty() && mStarts.size() < mOptions.mMaxStarting) {
    const auto shortest = std::max_element(
      open.begin(), open.end(), [&](auto* aLeft, auto* aRight) {
        return shortage(*aLeft) < shortage(*aRight);
      });
    if (shortage(**shortest) <= 0.0) {
      return;
    }
    if (!StartOne(**shortest)) {
      open.erase(shortest);
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
    Start{ .mService = name, .mOffer = offer->mKey, .mAskedAt = mNow };
  mEffects.emplace_back(StartEffect{ mLastStart, name, offer->mKey });
  Decide(name,
         "decision=start domain=" + offer->mKey.mDomain.Value() + " kind=" +
           (offer->mKey.mKind == PurchaseKind::kOnDemand ? "on-demand"
                                                         : "reclaimable") +
           " score=" + std::to_string(Score(aService, *offer)) +
           " holds=" + std::to_string(Holds(name)) +
           " wanted=" + std::to_string(aService.mWanted));
  return true;
}

/** Instances that count: there and not leaving, or being started. */
std::size_t
FleetPlanner::Holds(const ServiceName& aService) const
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
FleetPlanner::HoldsIn(const ServiceName& aService,
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
FleetPlanner::FitsShare(const Service& aService, const OfferKey& aOffer) const
{
  const double most = std::ceil(aService.mDemand.mMaxDomainShare *
                                static_cast<double>(aService.mWanted));
  const auto held = HoldsIn(aService.mDemand.mService, aOffer.mDomain);
  return static_cast<double>(held + 1) <= std::max(1.0, most);
}

// An offer that was refused is tried with one start first; all the missing ones
// at once would be refused together again.
bool
FleetPlanner::MayTry(const OfferKey& aOffer) const
{
  const bool underWay =
    std::any_of(mStarts.begin(), mStarts.end(), [&](const auto& aPair) {
      return aPair.second.mOffer == aOffer;
    });
  return mBackoff.IsOpen(aOffer, mNow) &&
         !(underWay && mBackoff.WasRefused(aOffer));
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
    // Too many in one domain is better than too few at all.
    const bool fits = FitsShare(aService, offer.mKey);
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

/** What an instance of this offer costs the service in an hour, all told. */
double
FleetPlanner::Score(const Service& aService, const Offer& aOffer) const
{
  const ServiceDemand& demand = aService.mDemand;
  const double reclaims = mRecord.RatePerHour(aOffer.mKey, mNow);
  const double held =
    static_cast<double>(HoldsIn(demand.mService, aOffer.mKey.mDomain));
  const double share = held / std::max<double>(1.0, aService.mWanted);
  const auto& preferred = demand.mPreferredDomains;
  const bool isPreferred =
    std::find(preferred.begin(), preferred.end(), aOffer.mKey.mDomain) !=
    preferred.end();
  return demand.mCostWeight * aOffer.mPricePerHour +
         demand.mLatencyWeight * reclaims * mOptions.mReclaimCost +
         mOptions.mSpreadCost * share -
         (isPreferred ? mOptions.mPreferenceWorth : 0.0);
}

double
FleetPlanner::PriceOf(const OfferKey& aOffer) const
{
  const auto offer =
    std::find_if(mOffers.begin(), mOffers.end(), [&](const Offer& aOne) {
      return aOne.mKey == aOffer;
    });
  return offer == mOffers.end() ? 0.0 : offer->mPricePerHour;
}

// Instances come back after a wave, and the replacements are there too. The
// dearest is drained, one at a time, and only after the surplus has lasted:
// what was just bought isn't sold again when the next wave comes.
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
  const auto dearest = *std::max_element(
    serving.begin(), serving.end(), [&](const auto* aLeft, const auto* aRight) {
      return PriceOf(aLeft->mOffer) < PriceOf(aRight->mOffer);
    });
  aService.mSurplusSince = mNow;
  mInstances[dearest->mName].mState = InstanceState::kLeaving;
  mEffects.emplace_back(DrainInstanceEffect{ dearest->mName });
  Decide(name,
         "decision=drain instance=" + dearest->mName.Value() +
           " reason=surplus wanted=" + std::to_string(aService.mWanted));
}

} // namespace peridotspool::fleet
