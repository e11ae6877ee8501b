#include "peridotspool/control/PersistEffect.h"

#include <algorithm>

namespace peridotspool::control {

bool
PersistEffect::IsEmpty() const
{
  return !mIdentity && !mSnapshot && !mCutFrom && mAppend.empty() && !mVote &&
         !mReset;
}

void
ApplyPersist(RestoredState& aState, const PersistEffect& aWrite)
{
  if (aWrite.mReset) {
    aState = RestoredState{};
  }
  if (aWrite.mIdentity) {
    aState.mIdentity = aWrite.mIdentity;
  }
  if (aWrite.mSnapshot) {
    aState.mSnapshot = aWrite.mSnapshot;
    std::erase_if(aState.mEntries, [&](const LogEntry& aEntry) {
      return aEntry.mIndex <= aWrite.mSnapshot->mIndex;
    });
  }
  if (aWrite.mCutFrom) {
    std::erase_if(aState.mEntries, [&](const LogEntry& aEntry) {
      return aEntry.mIndex >= *aWrite.mCutFrom;
    });
  }
  aState.mEntries.insert(
    aState.mEntries.end(), aWrite.mAppend.begin(), aWrite.mAppend.end());
  if (aWrite.mVote) {
    aState.mVote = *aWrite.mVote;
  }
}

} // namespace peridotspool::control
