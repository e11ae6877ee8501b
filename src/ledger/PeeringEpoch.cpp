#include "ledger/PeeringManager.h"

#include <algorithm>

namespace peridotspool::ledger {

namespace {

/**
 * Maximum number of past replica sets retained for each shard. If there are
 * more, all members are queried.
 */
constexpr std::size_t kMaxLaterSets = 32;

} // namespace

void
PeeringManager::OnEpoch(const membership::EpochMap& aMap)
{
  const EpochNumber oldEpoch = mContext.mEpoch;
  const bool contiguous = oldEpoch.IsSet() && aMap.mEpoch == oldEpoch.Next();
  mContext.mEpoch = aMap.mEpoch;
  mContext.mMembers.clear();
  mContext.mDraining.clear();
  for (const membership::Member& member : aMap.mMembers) {
    mContext.mMembers.insert(member.mId);
    if (member.mState == membership::MemberState::kDraining) {
      mContext.mDraining.insert(member.mId);
    }
  }
  std::erase_if(mContext.mPeerBytes, [&](const auto& aEntry) {
    return !mContext.IsMember(aEntry.first);
  });
  mContext.mPlacement = Placement(aMap, mContext.mOptions.mReplicas);
  for (Shard& shard : mContext.mShards) {
    const auto& set = mContext.mPlacement.ReplicasOf(shard.mId);
    const bool same = contiguous && shard.mSet == set;
    if (same && !shard.mRound) {
      if (shard.mServing) {
        mPrimary.AnnounceOrphans(shard);
      }
      continue;
    }
    if (!same && oldEpoch.IsSet()) {
      RecordPastSet(shard, shard.mSet, oldEpoch, contiguous);
    }
    shard.mSet = set;
    BeginInterval(shard, aMap.mEpoch);
  }
}

// A primary may skip a member's report only if that member was certainly never
// activated in between. Each copy therefore carries the list of replica sets
// that followed it, and a primary that has just joined learns the sets from the
// copies.
void
PeeringManager::RecordPastSet(Shard& aShard,
                              const std::vector<MemberId>& aOldSet,
                              EpochNumber aOldEpoch,
                              bool aContiguous)
{
  const bool anyLeft =
    std::any_of(aOldSet.begin(), aOldSet.end(), [&](MemberId aMember) {
      return mContext.IsMember(aMember);
    });
  if (!aOldSet.empty() && !anyLeft) {
    aShard.mVanished = PastSet{ .mEpoch = aOldEpoch, .mMembers = aOldSet };
  }
  if (!aShard.HoldsCopy()) {
    return;
  }
  aShard.mLaterIsComplete = aShard.mLaterIsComplete && aContiguous;
  if (aShard.mInterval > aShard.mActivated && !aOldSet.empty()) {
    aShard.mLater.push_back(
      { .mEpoch = aShard.mInterval, .mMembers = aOldSet });
  }
  if (aShard.mLater.size() > kMaxLaterSets) {
    aShard.mLater.erase(aShard.mLater.begin());
    aShard.mLaterIsComplete = false;
  }
}

void
PeeringManager::BeginInterval(Shard& aShard, EpochNumber aEpoch)
{
  std::vector<WaitingOperation> waiting = std::move(aShard.mQueue.mWaiting);
  aShard.mInterval = aEpoch;
  aShard.mServing = false;
  aShard.mRound.reset();
  aShard.mFill.reset();
  aShard.mOutOfOrder.clear();
  aShard.mQueue = PrimaryQueue();
  const MemberId primary = aShard.Primary();
  if (primary == mContext.mSelf) {
    aShard.mQueue.mWaiting = std::move(waiting);
    aShard.mRound = PeeringRound();
    aShard.mRound->mNextResend =
      mContext.mNow + mContext.mOptions.mResendInterval;
    aShard.mRound->mReports[mContext.mSelf] = ReportOf(aShard, mContext.mNow);
    QueryLikelyHolders(aShard);
    if (!aShard.HoldsCopy()) {
      QueryAll(aShard);
    }
    TryChoose(aShard);
  } else if (aShard.HoldsCopy() && primary.IsSet()) {
    // Sends the report without a query. This saves a new primary half a round
    // trip, and informs one that has just joined of a copy that it cannot know
    // about.
    mContext.mOutbox.mReports[primary].mReports.push_back(
      ReportOf(aShard, mContext.mNow));
    aShard.mNextLeftover = mContext.mNow + mContext.mOptions.mLeftoverInterval;
  }
}

} // namespace peridotspool::ledger
