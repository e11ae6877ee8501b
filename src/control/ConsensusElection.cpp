// Elections: timers, pre-votes and votes.

#include "peridotspool/control/Consensus.h"

#include <algorithm>

namespace peridotspool::control {

namespace {

/**
 * A split election at startup is abandoned after two to four startup election
 * periods.
 */
constexpr int kElectionPeriods = 4;

} // namespace

void
Consensus::ResetElectionTimer()
{
  // std::uniform_int_distribution isn't used because its results differ between
  // standard libraries.
  const auto range =
    static_cast<std::uint64_t>(mOptions.mElectionTimeout.count());
  const auto extra = static_cast<Duration::rep>(mRandom() % range);
  mElectionAt = mNow + mOptions.mElectionTimeout + Duration(extra);
}

void
Consensus::SetStartupElectionTimer(int aPeriods)
{
  if (!HasSeenNoLeader() ||
      mNow - mStartedAt >= mOptions.mStartupElectionWindow) {
    ResetElectionTimer();
    return;
  }
  const auto half = aPeriods * mOptions.mStartupElectionPeriod / 2;
  const auto extra = static_cast<Duration::rep>(
    mRandom() % static_cast<std::uint64_t>(half.count()));
  mElectionAt = mNow + half + Duration(extra);
}

bool
Consensus::HasHeardLeaderRecently() const
{
  if (mRole == Role::kLeader) {
    const std::optional<TimePoint> answered = QuorumAcknowledgedAt(mNow);
    return answered && mNow - *answered < mOptions.mElectionTimeout;
  }
  return mNow - mHeardLeaderAt < mOptions.mElectionTimeout;
}

bool
Consensus::HeardLeaderWithin(Duration aTime, TimePoint aNow) const
{
  return mRole == Role::kLeader ||
         (mHadLeader && aNow - mHeardLeaderAt < aTime);
}

bool
Consensus::IsUpToDate(const VoteRequest& aRequest) const
{
  if (aRequest.mLastTerm != mLog.LastTerm()) {
    return aRequest.mLastTerm > mLog.LastTerm();
  }
  return aRequest.mLastIndex >= mLog.LastIndex();
}

// Without the pre-vote, a partitioned replica would raise its term repeatedly
// and depose a healthy leader when it reconnects.
void
Consensus::StartPreVote()
{
  SetStartupElectionTimer(1);
  if (!Replicas().IsVoter(mSelf)) {
    return;
  }
  mRole = Role::kPreCandidate;
  mLeader = ReplicaId();
  mVotes.clear();
  mRestarted.clear();
  RequestVotes(true);
  CountVote(mSelf);
  if (HasSeenNoLeader() && mRole == Role::kPreCandidate) {
    CountRestarted(mSelf);
  }
}

void
Consensus::StartElection()
{
  mRole = Role::kCandidate;
  mLeader = ReplicaId();
  mVotes.clear();
  if (HasSeenNoLeader()) {
    SetStartupElectionTimer(kElectionPeriods);
  } else {
    ResetElectionTimer();
  }
  // The replica's own vote counts once it has synced; see Handle(SyncedEvent).
  SaveVote(mVote.mTerm.Next(), mSelf);
  RequestVotes(false);
}

void
Consensus::RequestVotes(bool aPreVote)
{
  const VoteRequest request{
    .mTerm = aPreVote ? mVote.mTerm.Next() : mVote.mTerm,
    .mPreVote = aPreVote,
    .mLastIndex = mLog.LastIndex(),
    .mLastTerm = mLog.LastTerm(),
    .mAllRestarted = !aPreVote && AllRestarted(),
  };
  for (const ReplicaInfo& replica : Replicas().mReplicas) {
    if (replica.mId == mSelf || !replica.mVoter) {
      continue;
    }
    if (aPreVote) {
      Send(replica.mId, request);
    } else {
      SendAfterSync(replica.mId, request);
    }
  }
}

void
Consensus::CountVote(ReplicaId aFrom)
{
  if (!Replicas().IsVoter(aFrom)) {
    return;
  }
  mVotes.insert(aFrom);
  if (mVotes.size() < Replicas().Majority()) {
    return;
  }
  if (mRole == Role::kPreCandidate) {
    // Standing for election includes a vote for itself, which a recent message
    // from a leader forbids as well.
    if (!HasHeardLeaderRecently()) {
      StartElection();
    }
  } else if (mRole == Role::kCandidate) {
    BecomeLeader();
  }
}

bool
Consensus::AllRestarted() const
{
  return std::all_of(Replicas().mReplicas.begin(),
                     Replicas().mReplicas.end(),
                     [&](const ReplicaInfo& aReplica) {
                       return !aReplica.mVoter ||
                              mRestarted.contains(aReplica.mId) ||
                              mEndedReplicas.contains(aReplica.mId);
                     });
}

// After all replicas are killed at once, each would withhold its vote for the
// lease of a leader that is gone too, and no request would be served meanwhile.
// A lease is held only by a voter's process that has led; when every voter
// reports that it has neither led nor heard from a leader since it started, no
// lease is left.
//
// All voters must be in the candidate's term. Otherwise a voter could reply,
// then lead in an older term and obtain a lease through a voter that restarts
// afterwards, and still hold the lease when that restarted voter votes for the
// candidate. In the same term it could lead only in a later term, which the
// voter that granted the lease would know.
//
// A voter that restarted with an empty disk can't report this and needn't: its
// identity has ended, so it holds no lease and grants none.
void
Consensus::CountRestarted(ReplicaId aFrom)
{
  if (!Replicas().IsVoter(aFrom)) {
    return;
  }
  mRestarted.insert(aFrom);
  if (AllRestarted() && HasSeenNoLeader() && mNow >= mDefersElectionUntil) {
    StartElection();
  }
}

void
Consensus::HandleMessage(ReplicaId aFrom, const VoteRequest& aRequest)
{
  // No vote is granted while a leader's lease may rely on this replica; the
  // lease is valid only because of this rule.
  const bool hears =
    HasHeardLeaderRecently() && !(aRequest.mAllRestarted && HasSeenNoLeader());
  if (aRequest.mPreVote) {
    const bool granted =
      aRequest.mTerm > mVote.mTerm && !hears && IsUpToDate(aRequest);
    const bool restarted = aRequest.mTerm == mVote.mTerm.Next() &&
                           HasSeenNoLeader() && IsUpToDate(aRequest);
    if (restarted && aFrom < mSelf) {
      // With one of three voters lost, two candidates would get one vote each.
      mDefersElectionUntil = mNow + mOptions.mStartupElectionPeriod;
    }
    Send(
      aFrom,
      VoteReply{ .mTerm = granted || restarted ? aRequest.mTerm : mVote.mTerm,
                 .mPreVote = true,
                 .mGranted = granted,
                 .mRestarted = restarted });
    return;
  }
  if (aRequest.mTerm > mVote.mTerm) {
    if (hears) {
      return;
    }
    BecomeFollower(aRequest.mTerm, ReplicaId());
  }
  const bool granted = aRequest.mTerm == mVote.mTerm &&
                       mRole == Role::kFollower &&
                       (!mVote.mVotedFor.IsSet() || mVote.mVotedFor == aFrom) &&
                       !mLeader.IsSet() && IsUpToDate(aRequest);
  if (granted) {
    SaveVote(mVote.mTerm, aFrom);
    ResetElectionTimer();
  }
  SendAfterSync(
    aFrom,
    VoteReply{ .mTerm = mVote.mTerm, .mPreVote = false, .mGranted = granted });
}

void
Consensus::HandleMessage(ReplicaId aFrom, const VoteReply& aReply)
{
  const bool forPreVote =
    aReply.mPreVote && (aReply.mGranted || aReply.mRestarted);
  if (!forPreVote && aReply.mTerm > mVote.mTerm) {
    BecomeFollower(aReply.mTerm, ReplicaId());
    return;
  }
  const Role wanted = aReply.mPreVote ? Role::kPreCandidate : Role::kCandidate;
  const Term term = aReply.mPreVote ? mVote.mTerm.Next() : mVote.mTerm;
  if (mRole != wanted || aReply.mTerm != term) {
    return;
  }
  if (aReply.mRestarted) {
    CountRestarted(aFrom);
  }
  if (aReply.mGranted && mRole == wanted) {
    CountVote(aFrom);
  }
}

void
Consensus::BecomeFollower(Term aTerm, ReplicaId aLeader)
{
  if (aTerm > mVote.mTerm) {
    SaveVote(aTerm, ReplicaId());
  }
  mRole = Role::kFollower;
  mLeader = aLeader;
  mVotes.clear();
  mProgress.clear();
  mRounds.clear();
  ResetElectionTimer();
}

void
Consensus::BecomeLeader()
{
  mRole = Role::kLeader;
  mHadLeader = true;
  mLeader = mSelf;
  mLeaderSince = mNow;
  mVotes.clear();
  mProgress.clear();
  RefreshProgress();
  // Entries of older terms are committed only together with an entry of this
  // term.
  mFirstOwnIndex = mLog.LastIndex().Next();
  AppendEntry({ .mIndex = mFirstOwnIndex,
                .mTerm = mVote.mTerm,
                .mCommand = NoopCommand{} });
  Broadcast();
}

} // namespace peridotspool::control
