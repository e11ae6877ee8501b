#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/fleet/Offer.h"

#include <map>

namespace peridotspool::fleet {

/** How often reclaimable instances were taken back lately, by offer. */
class ReclaimRecord
{
public:
  explicit ReclaimRecord(Duration aHalfLife);

  /** One instance of this offer was taken back. */
  void RecordReclaim(const OfferKey& aOffer, TimePoint aNow);
  /** So many instances of this offer have run for so long. */
  void RecordHours(const OfferKey& aOffer, double aHours, TimePoint aNow);

  /** Expected reclaims of one instance an hour; 0 for on-demand. */
  double RatePerHour(const OfferKey& aOffer, TimePoint aNow) const;

private:
  struct Entry
  {
    double mReclaims = 0.0;
    double mHours = 0.0;
    TimePoint mAt;
  };

  Entry Decayed(const OfferKey& aOffer, TimePoint aNow) const;

  Duration mHalfLife;
  std::map<OfferKey, Entry> mEntries;
};

} // namespace peridotspool::fleet
