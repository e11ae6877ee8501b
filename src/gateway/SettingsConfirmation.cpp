#include "peridotspool/gateway/SettingsConfirmation.h"

#include <algorithm>

namespace peridotspool::gateway {

SettingsConfirmation::SettingsConfirmation(SettingsConfirmationOptions aOptions)
  : mOptions(aOptions)
{
}

// A session that began anew has no confirmation yet; what an earlier one
// confirmed still holds.
void
SettingsConfirmation::Record(std::optional<TimePoint> aAt)
{
  if (aAt) {
    mConfirmedAt = std::max(mConfirmedAt.value_or(*aAt), *aAt);
  }
}

std::optional<Duration>
SettingsConfirmation::Age(TimePoint aNow) const
{
  return mConfirmedAt ? std::optional<Duration>(aNow - *mConfirmedAt)
                      : std::nullopt;
}

bool
SettingsConfirmation::IsFresh(TimePoint aNow) const
{
  const auto age = Age(aNow);
  return mOptions.mMaxAge == Duration(0) || (age && *age < mOptions.mMaxAge);
}

RefusalVerdict
SettingsConfirmation::Judge(TimePoint aArrivedAt, TimePoint aNow) const
{
  if (IsFresh(aNow)) {
    return RefusalVerdict::kRefuse;
  }
  return RemainingWait(aArrivedAt, aNow) > Duration(0)
           ? RefusalVerdict::kConfirm
           : RefusalVerdict::kUnavailable;
}

Duration
SettingsConfirmation::RemainingWait(TimePoint aArrivedAt, TimePoint aNow) const
{
  return mOptions.mMaxWait - (aNow - aArrivedAt);
}

} // namespace peridotspool::gateway
