#include "peridotspool/membership/RelaySelector.h"

#include <algorithm>

namespace peridotspool::membership {

RelaySelector::RelaySelector(std::uint64_t aSeed)
  : mSeed(aSeed)
{
}

void
RelaySelector::SetRelays(const std::vector<Address>& aRelays)
{
  mRelays = aRelays;
}

// A response that comes too late ends no failure: the relay would be chosen
// again at once.
void
RelaySelector::RecordResponse(TimePoint aSentAt, TimePoint aNow)
{
  mLastResponseAt = aNow;
  mAnsweredSentAt = std::max(mAnsweredSentAt, aSentAt);
  if (aNow - mAnsweredSentAt < kMaxDelay) {
    mFailed = false;
  }
}

// Once a relay has failed, the next one is used only after a direct message was
// answered: without a leader no relay would be better than another.
std::optional<Address>
RelaySelector::Choose(TimePoint aNow)
{
  if (mRelays.empty() || !mLastResponseAt) {
    return std::nullopt;
  }
  const bool isSilent = aNow - *mLastResponseAt >= kTimeout;
  const bool isLate = aNow - mAnsweredSentAt >= kMaxDelay;
  if (!mFailed && (isSilent || isLate)) {
    mFailed = true;
    ++mFailures;
  }
  if (mFailed) {
    return std::nullopt;
  }
  return mRelays[(mSeed + mFailures) % mRelays.size()];
}

} // namespace peridotspool::membership
