#include "peridotspool/membership/EpochChange.h"

#include <algorithm>

namespace peridotspool::membership {

void
ApplyChange(EpochMap& aMap, const EpochChange& aChange)
{
  const auto among = [](const std::vector<MemberId>& aIds, MemberId aId) {
    return std::find(aIds.begin(), aIds.end(), aId) != aIds.end();
  };
  std::erase_if(aMap.mMembers, [&](const Member& aMember) {
    return among(aChange.mRemoved, aMember.mId);
  });
  for (Member& member : aMap.mMembers) {
    if (among(aChange.mDraining, member.mId)) {
      member.mState = MemberState::kDraining;
    }
  }
  // Member ids are assigned in ascending order, so the list stays sorted.
  aMap.mMembers.insert(
    aMap.mMembers.end(), aChange.mAdded.begin(), aChange.mAdded.end());
  aMap.mEpoch = aChange.mEpoch;
}

} // namespace peridotspool::membership
