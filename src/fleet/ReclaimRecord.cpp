#include "peridotspool/fleet/ReclaimRecord.h"

#include <chrono>
#include <cmath>

namespace peridotspool::fleet {

namespace {

/** Prior for an offer that was never used. */
constexpr double kPriorReclaims = 0.2;
constexpr double kPriorHours = 10.0;

} // namespace

ReclaimRecord::ReclaimRecord(Duration aHalfLife)
  : mHalfLife(aHalfLife)
{
}

ReclaimRecord::Entry
ReclaimRecord::Decayed(const OfferKey& aOffer, TimePoint aNow) const
{
  const auto found = mEntries.find(aOffer);
  if (found == mEntries.end()) {
    return Entry{ .mReclaims = 0.0, .mHours = 0.0, .mAt = aNow };
  }
  const double halves =
    static_cast<double>((aNow - found->second.mAt).count()) /
    static_cast<double>(mHalfLife.count());
  const double share = std::exp2(-halves);
  return Entry{ .mReclaims = found->second.mReclaims * share,
                .mHours = found->second.mHours * share,
                .mAt = aNow };
}

void
ReclaimRecord::RecordReclaim(const OfferKey& aOffer, TimePoint aNow)
{
  Entry entry = Decayed(aOffer, aNow);
  entry.mReclaims += 1.0;
  mEntries[aOffer] = entry;
}

void
ReclaimRecord::RecordHours(const OfferKey& aOffer,
                           double aHours,
                           TimePoint aNow)
{
  Entry entry = Decayed(aOffer, aNow);
  entry.mHours += aHours;
  mEntries[aOffer] = entry;
}

double
ReclaimRecord::RatePerHour(const OfferKey& aOffer, TimePoint aNow) const
{
  if (aOffer.mKind == PurchaseKind::kOnDemand) {
    return 0.0;
  }
  const Entry entry = Decayed(aOffer, aNow);
  return (entry.mReclaims + kPriorReclaims) / (entry.mHours + kPriorHours);
}

} // namespace peridotspool::fleet
