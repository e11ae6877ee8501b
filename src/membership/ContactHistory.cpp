#include "peridotspool/membership/ContactHistory.h"

namespace peridotspool::membership {

namespace {

/**
 * Registries and entries retain what has ended during a gap for longer than
 * this, so it is learned afterwards.
 */
constexpr Duration kMaxGap = std::chrono::seconds(10);
/** After a gap the leader's confirmation may precede what registries push. */
constexpr Duration kCatchUpTime = std::chrono::seconds(3);

} // namespace

void
ContactHistory::RecordConfirmation(std::optional<TimePoint> aConfirmedAt)
{
  if (!aConfirmedAt || (mConfirmedAt && *aConfirmedAt <= *mConfirmedAt)) {
    return;
  }
  if (!mConfirmedAt || *aConfirmedAt - *mConfirmedAt > kMaxGap) {
    mContactSince = *aConfirmedAt;
  }
  if (!mConfirmedAt || *aConfirmedAt - *mConfirmedAt > kMaxConfirmationAge) {
    mCaughtUpAt = *aConfirmedAt + kCatchUpTime;
  }
  mConfirmedAt = aConfirmedAt;
}

bool
ContactHistory::Covers(Duration aPeriod, TimePoint aNow) const
{
  return mConfirmedAt && aNow - *mConfirmedAt < kMaxConfirmationAge &&
         aNow >= mCaughtUpAt && aNow - aPeriod >= mContactSince;
}

} // namespace peridotspool::membership
