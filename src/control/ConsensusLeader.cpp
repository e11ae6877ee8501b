// The leader's side of replication.

#include "peridotspool/control/Consensus.h"

#include <algorithm>
#include <functional>

namespace peridotspool::control {

namespace {

/** The number of rounds tracked; a reply to an older round extends no lease. */
constexpr std::size_t kMaxRounds = 64;

} // namespace

void
Consensus::RefreshProgress()
{
  std::erase_if(mProgress, [&](const auto& aPair) {
    return Replicas().Find(aPair.first) == nullptr;
  });
  for (const ReplicaInfo& replica : Replicas().mReplicas) {
    if (replica.mId != mSelf) {
      FollowerProgress fresh;
      fresh.mNext = mLog.LastIndex().Next();
      mProgress.try_emplace(replica.mId, fresh);
    }
  }
}

void
Consensus::Broadcast()
{
  mRound = mRound.Next();
  mRounds.push_back({ mRound, mNow });
  if (mRounds.size() > kMaxRounds) {
    mRounds.pop_front();
  }
  mLastBroadcast = mNow;
  for (auto& [replica, progress] : mProgress) {
    SendAppend(replica, progress);
  }
}

void
Consensus::SendAppend(ReplicaId aTo, FollowerProgress& aProgress)
{
  const LogIndex previous(aProgress.mNext.Value() - 1);
  const std::optional<Term> previousTerm = mLog.TermAt(previous);
  if (!previousTerm) {
    SendSnapshot(aTo, aProgress);
    return;
  }
  AppendRequest request{ .mTerm = mVote.mTerm,
                         .mRound = mRound,
                         .mPreviousIndex = previous,
                         .mPreviousTerm = *previousTerm,
                         .mEntries = {},
                         .mCommit = mCommit };
  if (!aProgress.mAwaiting) {
    request.mEntries = mLog.Slice(aProgress.mNext,
                                  mOptions.mMaxEntriesPerAppend,
                                  mOptions.mMaxBytesPerAppend);
  }
  if (!request.mEntries.empty()) {
    aProgress.mAwaiting = true;
    aProgress.mNext = request.mEntries.back().mIndex.Next();
  }
  Send(aTo, std::move(request));
}

void
Consensus::SendSnapshot(ReplicaId aTo, FollowerProgress& aProgress)
{
  const bool underWay =
    aProgress.mSnapshotSentAt &&
    mNow - *aProgress.mSnapshotSentAt < mOptions.mSnapshotResend;
  if (underWay || !mSnapshot) {
    return;
  }
  aProgress.mSnapshotSentAt = mNow;
  Send(aTo,
       InstallSnapshot{
         .mTerm = mVote.mTerm, .mRound = mRound, .mSnapshot = *mSnapshot });
}

void
Consensus::HandleMessage(ReplicaId aFrom, const AppendReply& aReply)
{
  if (aReply.mTerm > mVote.mTerm) {
    BecomeFollower(aReply.mTerm, ReplicaId());
    return;
  }
  const auto found = mProgress.find(aFrom);
  if (mRole != Role::kLeader || aReply.mTerm != mVote.mTerm ||
      found == mProgress.end()) {
    return;
  }
  FollowerProgress& progress = found->second;
  const auto round =
    std::find_if(mRounds.begin(), mRounds.end(), [&](const SentRound& aSent) {
      return aSent.mRound == aReply.mRound;
    });
  if (round != mRounds.end()) {
    progress.mAnsweredAt =
      std::max(progress.mAnsweredAt.value_or(round->mSentAt), round->mSentAt);
  }
  progress.mAwaiting = false;
  if (aReply.mAccepted) {
    HandleAppendAccepted(progress, aReply.mIndex);
  } else {
    HandleAppendRejected(progress, aReply.mIndex);
  }
  // HandleAppendAccepted may have committed this replica's own removal.
  if (mRole == Role::kLeader && progress.mNext <= mLog.LastIndex()) {
    SendAppend(aFrom, progress);
  }
}

void
Consensus::HandleAppendAccepted(FollowerProgress& aProgress, LogIndex aIndex)
{
  aProgress.mSnapshotSentAt.reset();
  aProgress.mMatch =
    std::max(aProgress.mMatch, std::min(aIndex, mLog.LastIndex()));
  aProgress.mNext = std::max(aProgress.mNext, aProgress.mMatch.Next());
  AdvanceCommit();
}

void
Consensus::HandleAppendRejected(FollowerProgress& aProgress, LogIndex aIndex)
{
  const LogIndex most = std::min(aIndex, mLog.LastIndex().Next());
  aProgress.mNext = std::max(most, aProgress.mMatch.Next());
}

void
Consensus::AdvanceCommit()
{
  std::vector<LogIndex> synced;
  for (const ReplicaInfo& replica : Replicas().mReplicas) {
    if (replica.mVoter) {
      const auto found = mProgress.find(replica.mId);
      synced.push_back(found == mProgress.end() ? mDurable
                                                : found->second.mMatch);
    }
  }
  if (synced.empty()) {
    return;
  }
  std::sort(synced.begin(), synced.end(), std::greater<>());
  const LogIndex index = synced[Replicas().Majority() - 1];
  if (index <= mCommit || mLog.TermAt(index) != mVote.mTerm) {
    return;
  }
  CommitThrough(index);
  if (ReplicaSetSettled() && !Replicas().IsVoter(mSelf)) {
    BecomeFollower(mVote.mTerm, ReplicaId());
  }
}

std::optional<TimePoint>
Consensus::QuorumAcknowledgedAt(TimePoint aNow) const
{
  std::vector<TimePoint> answered;
  for (const ReplicaInfo& replica : Replicas().mReplicas) {
    if (!replica.mVoter) {
      continue;
    }
    if (replica.mId == mSelf) {
      answered.push_back(aNow);
    } else if (const auto found = mProgress.find(replica.mId);
               found != mProgress.end() && found->second.mAnsweredAt) {
      answered.push_back(*found->second.mAnsweredAt);
    }
  }
  if (answered.size() < Replicas().Majority()) {
    return std::nullopt;
  }
  std::sort(answered.begin(), answered.end(), std::greater<>());
  return answered[Replicas().Majority() - 1];
}

bool
Consensus::LeaseHolds(TimePoint aNow) const
{
  if (mRole != Role::kLeader || mCommit < mFirstOwnIndex) {
    return false;
  }
  const std::optional<TimePoint> answered = QuorumAcknowledgedAt(aNow);
  return answered && aNow < *answered + mOptions.LeaseDuration();
}

// A partitioned leader would otherwise remain leader as long as the partition
// lasts, and leave its operators' requests unanswered.
void
Consensus::CheckQuorum()
{
  const TimePoint answered =
    std::max(QuorumAcknowledgedAt(mNow).value_or(mLeaderSince), mLeaderSince);
  if (mNow - answered > 2 * mOptions.mElectionTimeout) {
    BecomeFollower(mVote.mTerm, ReplicaId());
  }
}

} // namespace peridotspool::control
