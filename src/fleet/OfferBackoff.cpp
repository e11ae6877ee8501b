#include "peridotspool/fleet/OfferBackoff.h"

#include <algorithm>

namespace peridotspool::fleet {

OfferBackoff::OfferBackoff(Duration aInitial,
                           Duration aMax,
                           std::uint64_t aSeed)
  : mInitial(aInitial)
  , mMax(aMax)
  , mRandom(aSeed)
{
}

void
OfferBackoff::RecordRefusal(const OfferKey& aOffer, TimePoint aNow)
{
  Entry& entry = mEntries[aOffer];
  // Several pending starts of one offer are refused together and count as one
  // refusal.
  if (aNow < entry.mUntil) {
    return;
  }
  entry.mBackoff = entry.mBackoff == Duration(0)
                     ? mInitial
                     : std::min(entry.mBackoff * 2, mMax);
  const auto half = static_cast<std::uint64_t>(entry.mBackoff.count() / 2);
  const auto jitter = static_cast<Duration::rep>(mRandom() % (half + 1));
  entry.mUntil = aNow + entry.mBackoff / 2 + Duration(jitter);
}

void
OfferBackoff::RecordSuccess(const OfferKey& aOffer)
{
  mEntries.erase(aOffer);
}

bool
OfferBackoff::IsOpen(const OfferKey& aOffer, TimePoint aNow) const
{
  const auto found = mEntries.find(aOffer);
  return found == mEntries.end() || aNow >= found->second.mUntil;
}

bool
OfferBackoff::WasRefused(const OfferKey& aOffer) const
{
  return mEntries.contains(aOffer);
}

} // namespace peridotspool::fleet
