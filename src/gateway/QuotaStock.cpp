#include "peridotspool/gateway/QuotaStock.h"

#include <algorithm>
#include <numeric>

namespace peridotspool::gateway {

void
QuotaStock::Put(double aUnits, TimePoint aLapsesAt)
{
  const auto place = std::upper_bound(
    mLots.begin(), mLots.end(), aLapsesAt, [](TimePoint aAt, const Lot& aLot) {
      return aAt < aLot.mLapsesAt;
    });
  mLots.insert(place, Lot{ .mLapsesAt = aLapsesAt, .mUnits = aUnits });
}

std::optional<TimePoint>
QuotaStock::Take(double aUnits, TimePoint aNow)
{
  while (!mLots.empty() && mLots.front().mLapsesAt <= aNow) {
    mLots.pop_front();
  }
  const double all = std::accumulate(
    mLots.begin(), mLots.end(), 0.0, [](double aSum, const Lot& aLot) {
      return aSum + aLot.mUnits;
    });
  if (all < aUnits) {
    return std::nullopt;
  }
  const TimePoint first = mLots.front().mLapsesAt;
  for (double left = aUnits; left > 0.0 && !mLots.empty();) {
    const double taken = std::min(left, mLots.front().mUnits);
    mLots.front().mUnits -= taken;
    left -= taken;
    if (mLots.front().mUnits <= 0.0) {
      mLots.pop_front();
    }
  }
  return first;
}

} // namespace peridotspool::gateway
