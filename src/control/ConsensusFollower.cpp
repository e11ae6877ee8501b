// The follower's side of replication.

#include "peridotspool/control/Consensus.h"

#include <algorithm>

namespace peridotspool::control {

bool
Consensus::AcceptLeader(ReplicaId aFrom, Term aTerm)
{
  const bool ownLead = mRole == Role::kLeader && aTerm == mVote.mTerm;
  if (aTerm < mVote.mTerm || ownLead) {
    return false;
  }
  if (aTerm > mVote.mTerm || mRole != Role::kFollower || mLeader != aFrom) {
    BecomeFollower(aTerm, aFrom);
  }
  mHeardLeaderAt = mNow;
  mHadLeader = true;
  ResetElectionTimer();
  return true;
}

void
Consensus::HandleMessage(ReplicaId aFrom, const AppendRequest& aRequest)
{
  if (!AcceptLeader(aFrom, aRequest.mTerm)) {
    ReplyAppend(aFrom, aRequest.mRound, false, LogIndex());
    return;
  }
  const LogIndex previous = aRequest.mPreviousIndex;
  // Up to the commit index all logs are identical, so only later entries can
  // differ.
  if (previous > mCommit && mLog.TermAt(previous) != aRequest.mPreviousTerm) {
    ReplyAppend(
      aFrom, aRequest.mRound, false, FirstPossiblyDivergent(previous));
    return;
  }
  MergeEntries(aRequest.mEntries);
  const LogIndex lastSent =
    aRequest.mEntries.empty() ? previous : aRequest.mEntries.back().mIndex;
  const LogIndex matched =
    std::max(mCommit, std::min(lastSent, mLog.LastIndex()));
  CommitThrough(std::min(aRequest.mCommit, matched));
  ReplyAppend(aFrom, aRequest.mRound, true, matched);
}

LogIndex
Consensus::FirstPossiblyDivergent(LogIndex aPrevious) const
{
  if (aPrevious > mLog.LastIndex()) {
    return mLog.LastIndex().Next();
  }
  LogIndex index = aPrevious;
  const std::optional<Term> term = mLog.TermAt(aPrevious);
  while (index > mCommit.Next() &&
         mLog.TermAt(LogIndex(index.Value() - 1)) == term) {
    index = LogIndex(index.Value() - 1);
  }
  return index;
}

void
Consensus::MergeEntries(const std::vector<LogEntry>& aEntries)
{
  for (const LogEntry& entry : aEntries) {
    if (entry.mIndex <= mCommit || mLog.TermAt(entry.mIndex) == entry.mTerm) {
      continue;
    }
    if (mLog.Holds(entry.mIndex)) {
      CutFrom(entry.mIndex);
    }
    if (entry.mIndex != mLog.LastIndex().Next()) {
      return;
    }
    AppendEntry(entry);
  }
}

void
Consensus::HandleMessage(ReplicaId aFrom, const InstallSnapshot& aRequest)
{
  if (!AcceptLeader(aFrom, aRequest.mTerm)) {
    ReplyAppend(aFrom, aRequest.mRound, false, LogIndex());
    return;
  }
  const Snapshot& snapshot = aRequest.mSnapshot;
  if (mLog.TermAt(snapshot.mIndex) == snapshot.mTerm) {
    CommitThrough(snapshot.mIndex);
  } else if (snapshot.mIndex > mCommit) {
    mLog = ReplicatedLog(snapshot.mIndex, snapshot.mTerm);
    mSets = { PlacedReplicaSet{ snapshot.mIndex, snapshot.mReplicas } };
    mCommit = snapshot.mIndex;
    mSnapshot = snapshot;
    mDurable = LogIndex();
    for (PendingSync& pending : mPendingSyncs) {
      pending.mLastIndex = LogIndex();
    }
    Write().mSnapshot = snapshot;
    Write().mCutFrom = snapshot.mIndex.Next();
    Write().mAppend.clear();
    mEffects.emplace_back(InstalledEffect{ snapshot });
  }
  ReplyAppend(aFrom, aRequest.mRound, true, std::max(mCommit, snapshot.mIndex));
}

void
Consensus::ReplyAppend(ReplicaId aTo,
                       RoundNumber aRound,
                       bool aAccepted,
                       LogIndex aIndex)
{
  SendAfterSync(aTo,
                AppendReply{ .mTerm = mVote.mTerm,
                             .mRound = aRound,
                             .mAccepted = aAccepted,
                             .mIndex = aIndex });
}

} // namespace peridotspool::control
