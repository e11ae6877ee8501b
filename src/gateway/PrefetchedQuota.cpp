#include "peridotspool/gateway/PrefetchedQuota.h"

#include <algorithm>
#include <numeric>

namespace peridotspool::gateway {

void
PrefetchedQuota::Add(double aUnits, TimePoint aExpiresAt)
{
  const auto place = std::upper_bound(mLots.begin(),
                                      mLots.end(),
                                      aExpiresAt,
                                      [](TimePoint aExpiry, const Lot& aLot) {
                                        return aExpiry < aLot.mExpiresAt;
                                      });
  mLots.insert(place, Lot{ .mExpiresAt = aExpiresAt, .mUnits = aUnits });
}

std::optional<TimePoint>
PrefetchedQuota::TryTake(double aUnits, TimePoint aNow)
{
  while (!mLots.empty() && mLots.front().mExpiresAt <= aNow) {
    mLots.pop_front();
  }
  const double total = std::accumulate(
    mLots.begin(), mLots.end(), 0.0, [](double aSum, const Lot& aLot) {
      return aSum + aLot.mUnits;
    });
  if (total < aUnits) {
    return std::nullopt;
  }
  const TimePoint first = mLots.front().mExpiresAt;
  for (double remaining = aUnits; remaining > 0.0 && !mLots.empty();) {
    const double taken = std::min(remaining, mLots.front().mUnits);
    mLots.front().mUnits -= taken;
    remaining -= taken;
    if (mLots.front().mUnits <= 0.0) {
      mLots.pop_front();
    }
  }
  return first;
}

} // namespace peridotspool::gateway
