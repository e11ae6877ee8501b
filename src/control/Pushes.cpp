#include "control/Pushes.h"

#include <algorithm>

namespace peridotspool::control {

using membership::EpochPush;
using membership::SettingsPush;

SettingsPush
MakeSettingsPush(const SettingsState& aSettings,
                 std::uint64_t aDigest,
                 Revision aHave)
{
  SettingsPush push{ .mBase = aHave,
                     .mRevision = aSettings.mRevision,
                     .mDeltas = {},
                     .mWhole = {},
                     .mDigest = aDigest };
  const auto first = std::find_if(aSettings.mHistory.begin(),
                                  aSettings.mHistory.end(),
                                  [&](const SettingsChange& aChange) {
                                    return aChange.mRevision == aHave.Next();
                                  });
  std::size_t bytes = 0;
  bool retained = true;
  for (auto change = first; change != aSettings.mHistory.end() && retained;
       ++change) {
    retained = change->mDelta.has_value();
    if (retained) {
      bytes += change->mDelta->mRemoved.size();
      bytes += change->mDelta->mInserted.size();
      push.mDeltas.push_back(*change->mDelta);
    }
  }
  // An entry without settings has no text to apply a delta to.
  const bool whole = !aHave.IsSet() || !retained || push.mDeltas.empty() ||
                     bytes > aSettings.mText.size();
  if (whole) {
    push.mBase = Revision();
    push.mDeltas.clear();
    push.mWhole = aSettings.mText;
  }
  return push;
}

EpochPush
MakeEpochPush(const MembershipState& aState, EpochNumber aHave)
{
  EpochPush push;
  const bool tooOld = aHave < aState.mOldest.mEpoch || !aHave.IsSet();
  if (tooOld && aState.mOldest.mEpoch.IsSet()) {
    push.mWhole = aState.mOldest;
  }
  std::copy_if(aState.mChanges.begin(),
               aState.mChanges.end(),
               std::back_inserter(push.mChanges),
               [&](const membership::EpochChange& aChange) {
                 return aChange.mEpoch > aHave;
               });
  return push;
}

} // namespace peridotspool::control
