#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/fleet/Offer.h"

#include <cstdint>
#include <map>
#include <random>

namespace peridotspool::fleet {

/** Exponential back-off with jitter for offers whose starts were refused. */
class OfferBackoff
{
public:
  OfferBackoff(Duration aInitial, Duration aMax, std::uint64_t aSeed);

  void RecordRefusal(const OfferKey& aOffer, TimePoint aNow);
  void RecordSuccess(const OfferKey& aOffer);
  /** Returns true iff the offer's back-off has elapsed. */
  bool IsOpen(const OfferKey& aOffer, TimePoint aNow) const;
  /**
   * Returns true iff the last start of the offer was refused. Such an offer is
   * probed with a single start.
   */
  bool WasRefused(const OfferKey& aOffer) const;

private:
  struct Entry
  {
    Duration mBackoff{ 0 };
    TimePoint mUntil;
  };

  Duration mInitial;
  Duration mMax;
  std::mt19937_64 mRandom;
  std::map<OfferKey, Entry> mEntries;
};

} // namespace peridotspool::fleet
