#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/fleet/Offer.h"

#include <map>

namespace peridotspool::fleet {

/** Tracks by offer how often reclaimable instances were reclaimed recently. */
class ReclaimRecord
{
public:
  explicit ReclaimRecord(Duration aHalfLife);

  /** Records that one instance of the offer was reclaimed. */
  void RecordReclaim(const OfferKey& aOffer, TimePoint aNow);
  /** Adds aHours of running time of instances of the offer. */
  void RecordHours(const OfferKey& aOffer, double aHours, TimePoint aNow);

  /**
   * Returns the expected number of reclaims of one instance per hour; 0 for
   * on-demand.
   */
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
