#include "peridotspool/gateway/CoordinatorTenure.h"

#include "peridotspool/limits/PermitTiming.h"

#include <algorithm>
#include <utility>

namespace peridotspool::gateway {

// Epochs that this entry didn't receive may have named another coordinator. An
// empty map, which names none, stands for them.
void
CoordinatorTenure::ApplyEpoch(EpochNumber aEpoch,
                              CoordinatorMap aMap,
                              TimePoint aNow)
{
  if (mPeriods.empty() || aEpoch != mEpoch.Next()) {
    mPeriods.push_back({ .mMap = {}, .mSince = aNow });
  }
  mEpoch = aEpoch;
  mPeriods.push_back({ .mMap = std::move(aMap), .mSince = aNow });
  while (mPeriods.size() > 1 &&
         aNow - mPeriods[1].mSince >= limits::kTakeoverDelay) {
    mPeriods.pop_front();
  }
}

bool
CoordinatorTenure::Covers(const UpstreamName& aUpstream,
                          const FailureDomain& aDomain,
                          TimePoint aNow) const
{
  if (!mConfirmedAt || aNow - *mConfirmedAt >= limits::kCoordinatorLease) {
    return false;
  }
  for (auto period = mPeriods.rbegin(); period != mPeriods.rend(); ++period) {
    if (period->mMap.CoordinatorOf(aUpstream, aDomain) != mSelf) {
      return false;
    }
    if (aNow - period->mSince >= limits::kTakeoverDelay) {
      return true;
    }
  }
  return false;
}

} // namespace peridotspool::gateway
