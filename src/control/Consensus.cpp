#include "peridotspool/control/Consensus.h"

#include "peridotspool/base/Invariant.h"

#include <algorithm>

namespace peridotspool::control {

Consensus::Consensus(ConsensusOptions aOptions,
                     RestoredState aState,
                     TimePoint aNow,
                     SyncToken aLastToken)
  : mOptions(aOptions)
  , mRandom(aOptions.mRandomSeed)
  , mNow(aNow)
  , mVote(aState.mVote)
  , mSnapshot(std::move(aState.mSnapshot))
  , mLastToken(aLastToken)
  , mSyncedToken(aLastToken)
{
  PERIDOTSPOOL_INVARIANT(aState.mIdentity.has_value());
  mSelf = aState.mIdentity->mReplica;
  if (mSnapshot) {
    mLog = ReplicatedLog(mSnapshot->mIndex, mSnapshot->mTerm);
    mSets.push_back({ mSnapshot->mIndex, mSnapshot->mReplicas });
    mCommit = mSnapshot->mIndex;
  } else {
    mSets.push_back({});
  }
  for (LogEntry& entry : aState.mEntries) {
    if (const auto* change = std::get_if<ReplicaSetCommand>(&entry.mCommand)) {
      mSets.push_back({ entry.mIndex, change->mSet });
    }
    mLog.Append(std::move(entry));
  }
  mDurable = mLog.LastIndex();
  // A restarted replica no longer knows when it last heard from a leader, whose
  // lease may still rely on this replica not voting. Voting at once could elect
  // a second leader within the first one's lease, so the replica starts as if
  // it had just received a heartbeat.
  mHeardLeaderAt = aNow;
  mStartedAt = aNow;
  SetStartupElectionTimer(1);
}

ConsensusEffects
Consensus::Step(const ConsensusEvent& aEvent, TimePoint aNow)
{
  mNow = std::max(mNow, aNow);
  std::visit([this](const auto& aOne) { Handle(aOne); }, aEvent);
  FlushWrites();
  ReleaseHeld();
  return std::exchange(mEffects, {});
}

void
Consensus::Handle(const ReplicaMessageEvent& aEvent)
{
  std::visit(
    [&](const auto& aMessage) { HandleMessage(aEvent.mFrom, aMessage); },
    aEvent.mMessage);
}

void
Consensus::Handle(const SyncedEvent& aEvent)
{
  mSyncedToken = std::max(mSyncedToken, aEvent.mToken);
  bool ownVote = false;
  while (!mPendingSyncs.empty() &&
         mPendingSyncs.front().mToken <= aEvent.mToken) {
    const PendingSync& done = mPendingSyncs.front();
    mDurable = std::max(mDurable, done.mLastIndex);
    ownVote = ownVote || (done.mOwnVote && done.mTerm == mVote.mTerm);
    mPendingSyncs.pop_front();
  }
  if (ownVote && mRole == Role::kCandidate) {
    CountVote(mSelf);
  }
  if (mRole == Role::kLeader) {
    AdvanceCommit();
  }
}

void
Consensus::Handle(const ProposeEvent& aEvent)
{
  if (mRole != Role::kLeader) {
    return;
  }
  // Two concurrent changes of the replica set could produce two majorities
  // without a common replica, and so two leaders.
  const bool changesSet =
    std::holds_alternative<ReplicaSetCommand>(aEvent.mCommand);
  if (changesSet && (!ReplicaSetSettled() || mCommit < mFirstOwnIndex)) {
    return;
  }
  AppendEntry({ .mIndex = mLog.LastIndex().Next(),
                .mTerm = mVote.mTerm,
                .mCommand = aEvent.mCommand });
  for (auto& [replica, progress] : mProgress) {
    if (!progress.mAwaiting) {
      SendAppend(replica, progress);
    }
  }
}

void
Consensus::Handle(const CompactEvent& aEvent)
{
  PERIDOTSPOOL_INVARIANT(aEvent.mIndex <= mCommit);
  const std::optional<Term> term = mLog.TermAt(aEvent.mIndex);
  if (!term || (mSnapshot && mSnapshot->mIndex >= aEvent.mIndex)) {
    return;
  }
  mSnapshot = Snapshot{ .mIndex = aEvent.mIndex,
                        .mTerm = *term,
                        .mReplicas = SetAt(aEvent.mIndex),
                        .mState = aEvent.mState };
  Write().mSnapshot = mSnapshot;
  const LogIndex drop =
    mLog.BeforeLatest(aEvent.mIndex,
                      mOptions.mEntriesRetainedBehindSnapshot,
                      mOptions.mBytesRetainedBehindSnapshot);
  if (drop > mLog.BaseIndex()) {
    mLog.DropThrough(drop);
  }
  while (mSets.size() > 1 && mSets[1].mIndex <= mLog.BaseIndex()) {
    mSets.pop_front();
  }
}

void
Consensus::Handle(const TickEvent&)
{
  if (mRole == Role::kLeader) {
    CheckQuorum();
  }
  if (mRole == Role::kLeader) {
    if (mNow - mLastBroadcast >= mOptions.mHeartbeatPeriod) {
      Broadcast();
    }
  } else if (mNow >= mElectionAt) {
    StartPreVote();
  }
}

std::size_t
Consensus::PendingBytes() const
{
  std::size_t bytes = mLog.BytesAfter(mCommit);
  for (const PendingSync& pending : mPendingSyncs) {
    bytes += pending.mBytes;
  }
  return bytes;
}

bool
Consensus::ReplicaSetSettled() const
{
  return mSets.back().mIndex <= mCommit;
}

const ReplicaSet&
Consensus::SetAt(LogIndex aIndex) const
{
  const auto found =
    std::find_if(mSets.rbegin(), mSets.rend(), [&](const auto& aPlaced) {
      return aPlaced.mIndex <= aIndex;
    });
  PERIDOTSPOOL_INVARIANT(found != mSets.rend());
  return found->mSet;
}

void
Consensus::AppendEntry(LogEntry aEntry)
{
  Write().mAppend.push_back(aEntry);
  const auto* change = std::get_if<ReplicaSetCommand>(&aEntry.mCommand);
  if (change != nullptr) {
    mSets.push_back({ aEntry.mIndex, change->mSet });
  }
  mLog.Append(std::move(aEntry));
  if (change != nullptr && mRole == Role::kLeader) {
    RefreshProgress();
  }
}

void
Consensus::CutFrom(LogIndex aIndex)
{
  PERIDOTSPOOL_INVARIANT(aIndex > mCommit);
  mLog.CutFrom(aIndex);
  while (mSets.size() > 1 && mSets.back().mIndex >= aIndex) {
    mSets.pop_back();
  }
  std::erase_if(Write().mAppend, [&](const LogEntry& aEntry) {
    return aEntry.mIndex >= aIndex;
  });
  Write().mCutFrom = std::min(aIndex, Write().mCutFrom.value_or(aIndex));
  const LogIndex last = mLog.LastIndex();
  mDurable = std::min(mDurable, last);
  for (PendingSync& pending : mPendingSyncs) {
    pending.mLastIndex = std::min(pending.mLastIndex, last);
  }
}

void
Consensus::CommitThrough(LogIndex aIndex)
{
  if (aIndex <= mCommit) {
    return;
  }
  CommittedEffect committed{ mLog.Slice(mCommit.Next(),
                                        aIndex.Value() - mCommit.Value()) };
  mCommit = aIndex;
  mEffects.emplace_back(std::move(committed));
}

void
Consensus::SaveVote(Term aTerm, ReplicaId aVotedFor)
{
  mVote = VoteRecord{ .mTerm = aTerm, .mVotedFor = aVotedFor };
  Write().mVote = mVote;
}

} // namespace peridotspool::control
