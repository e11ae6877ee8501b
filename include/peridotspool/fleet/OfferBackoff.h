#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/fleet/Offer.h"

#include <cstdint>
#include <map>
#include <random>

namespace peridotspool::fleet {

/** Leaves refused offers alone for a while, longer each time. */
class OfferBackoff
{
public:
  OfferBackoff(Duration aInitial, Duration aMax, std::uint64_t aSeed);

  void RecordRefusal(const OfferKey& aOffer, TimePoint aNow);
  void RecordSuccess(const OfferKey& aOffer);
  /** Returns true iff the offer may be tried. */
  bool IsOpen(const OfferKey& aOffer, TimePoint aNow) const;
  /** Returns true iff the last start was refused: it is tried with one. */
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
