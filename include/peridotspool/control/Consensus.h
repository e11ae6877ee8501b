#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/control/ConsensusEffect.h"
#include "peridotspool/control/ConsensusEvent.h"
#include "peridotspool/control/ConsensusOptions.h"
#include "peridotspool/control/FollowerProgress.h"
#include "peridotspool/control/ReplicatedLog.h"
#include "peridotspool/control/RestoredState.h"

#include <boost/describe/enum.hpp>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace peridotspool::control {

enum class Role
{
  kFollower,
  /** Asks whether it would be elected, without raising its term. */
  kPreCandidate,
  kCandidate,
  kLeader,
};
BOOST_DESCRIBE_ENUM(Role, kFollower, kPreCandidate, kCandidate, kLeader)

/**
 * The replicated log: elections, replication, compaction and changes of the
 * replica set, after the Raft algorithm with pre-vote, check-quorum and leader
 * leases.
 *
 * A pure step. Nothing that it promises to another replica leaves before the
 * write that the promise rests on has synced. Not thread-safe.
 */
class Consensus
{
public:
  /**
   * aState must have an identity; an empty folder takes no part. Tokens of
   * writes go on after aLastToken.
   */
  Consensus(ConsensusOptions aOptions,
            RestoredState aState,
            TimePoint aNow,
            SyncToken aLastToken = SyncToken());

  /** Takes one event and returns what the host is to do, in order. */
  ConsensusEffects Step(const ConsensusEvent& aEvent, TimePoint aNow);

  ReplicaId Self() const { return mSelf; }
  Role CurrentRole() const { return mRole; }
  Term CurrentTerm() const { return mVote.mTerm; }
  /** The leader of the current term; unset when it isn't known. */
  ReplicaId Leader() const { return mLeader; }
  LogIndex LastIndex() const { return mLog.LastIndex(); }
  LogIndex Commit() const { return mCommit; }
  /** The newest write that was given out. */
  SyncToken LastToken() const { return mLastToken; }
  /** Entries kept in memory. */
  std::size_t LogSize() const { return mLog.Size(); }
  /** The newest replica set in the log, committed or not. */
  const ReplicaSet& Replicas() const { return mSets.back().mSet; }
  /** Returns true iff no change of the replica set is under way. */
  bool ReplicaSetSettled() const;
  /**
   * Returns true iff this replica leads, has committed an entry of its own
   * term, and no other replica can lead at aNow: its state is the newest.
   */
  bool LeaseHolds(TimePoint aNow) const;
  /**
   * The process that bears the identity has ended, and its disk is lost: nobody
   * will ever speak or have spoken for it in this process's life.
   */
  void RecordEndedReplica(ReplicaId aReplica)
  {
    mEndedReplicas.insert(aReplica);
  }
  /** Returns true iff it leads, or has heard the leader in this time. */
  bool HeardLeaderWithin(Duration aTime, TimePoint aNow) const;
  /** What the leader knows of the others; empty on a follower. */
  const std::map<ReplicaId, FollowerProgress>& Progress() const
  {
    return mProgress;
  }

private:
  struct PlacedReplicaSet
  {
    LogIndex mIndex;
    ReplicaSet mSet;
  };
  struct MessageAwaitingSync
  {
    SyncToken mToken;
    SendReplicaEffect mSend;
  };
  struct PendingSync
  {
    SyncToken mToken;
    LogIndex mLastIndex;
    Term mTerm;
    bool mOwnVote = false;
  };
  struct SentRound
  {
    RoundNumber mRound;
    TimePoint mSentAt;
  };

  // Events.
  void Handle(const ReplicaMessageEvent& aEvent);
  void Handle(const SyncedEvent& aEvent);
  void Handle(const ProposeEvent& aEvent);
  void Handle(const CompactEvent& aEvent);
  void Handle(const TickEvent& aEvent);

  // Messages.
  void HandleMessage(ReplicaId aFrom, const VoteRequest& aRequest);
  void HandleMessage(ReplicaId aFrom, const VoteReply& aReply);
  void HandleMessage(ReplicaId aFrom, const AppendRequest& aRequest);
  void HandleMessage(ReplicaId aFrom, const AppendReply& aReply);
  void HandleMessage(ReplicaId aFrom, const InstallSnapshot& aRequest);
  template<typename Other>
  void HandleMessage(ReplicaId, const Other&)
  {
  }

  // Elections.
  void ResetElectionTimer();
  /** Asks for pre-votes soon while the replica has only just started: within
   * half of so many eager periods to all of them. */
  void SetStartupElectionTimer(int aPeriods);
  bool HasHeardLeaderRecently() const;
  /** The replica has led nobody and heard no leader since it started. */
  bool HasSeenNoLeader() const { return !mHadLeader; }
  bool IsUpToDate(const VoteRequest& aRequest) const;
  void StartPreVote();
  void StartElection();
  void RequestVotes(bool aPreVote);
  void CountVote(ReplicaId aFrom);
  bool AllRestarted() const;
  void CountRestarted(ReplicaId aFrom);
  void BecomeFollower(Term aTerm, ReplicaId aLeader);
  void BecomeLeader();

  // The leader's side.
  void Broadcast();
  void SendAppend(ReplicaId aTo, FollowerProgress& aProgress);
  void SendSnapshot(ReplicaId aTo, FollowerProgress& aProgress);
  void HandleAppendAccepted(FollowerProgress& aProgress, LogIndex aIndex);
  void HandleAppendRejected(FollowerProgress& aProgress, LogIndex aIndex);
  void AdvanceCommit();
  void CheckQuorum();
  std::optional<TimePoint> QuorumAcknowledgedAt(TimePoint aNow) const;
  void RefreshProgress();

  // The follower's side.
  bool AcceptLeader(ReplicaId aFrom, Term aTerm);
  /** Returns from where a leader's log may differ from this one. */
  LogIndex FirstPossiblyDivergent(LogIndex aPrevious) const;
  void MergeEntries(const std::vector<LogEntry>& aEntries);
  void ReplyAppend(ReplicaId aTo,
                   RoundNumber aRound,
                   bool aAccepted,
                   LogIndex aIndex);

  // Log and disk.
  void AppendEntry(LogEntry aEntry);
  void CutFrom(LogIndex aIndex);
  void CommitThrough(LogIndex aIndex);
  void SaveVote(Term aTerm, ReplicaId aVotedFor);
  const ReplicaSet& SetAt(LogIndex aIndex) const;
  PersistEffect& Write();
  void Send(ReplicaId aTo, ReplicaMessage aMessage);
  void SendAfterSync(ReplicaId aTo, ReplicaMessage aMessage);
  void FlushWrites();
  void ReleaseHeld();

  ConsensusOptions mOptions;
  ReplicaId mSelf;
  std::mt19937_64 mRandom;
  TimePoint mNow;
  ConsensusEffects mEffects;

  VoteRecord mVote;
  ReplicatedLog mLog;
  std::optional<Snapshot> mSnapshot;
  std::deque<PlacedReplicaSet> mSets;
  LogIndex mCommit;

  Role mRole = Role::kFollower;
  ReplicaId mLeader;
  /** No vote before this: a leader may count on this replica's silence. */
  TimePoint mHeardLeaderAt;
  TimePoint mElectionAt;
  TimePoint mStartedAt;
  /** It led, or heard a leader, since it started. */
  bool mHadLeader = false;
  std::set<ReplicaId> mVotes;
  /** Voters that restarted and know no leader, by this round of pre-votes. */
  std::set<ReplicaId> mRestarted;
  /** Replicas whose identity is over; see RecordEndedReplica. */
  std::set<ReplicaId> mEndedReplicas;
  /** A restarted replica of a smaller id is to be elected until then. */
  TimePoint mDefersElectionUntil;

  std::map<ReplicaId, FollowerProgress> mProgress;
  RoundNumber mRound;
  std::deque<SentRound> mRounds;
  TimePoint mLastBroadcast;
  TimePoint mLeaderSince;
  LogIndex mFirstOwnIndex;

  PersistEffect mWrite;
  SyncToken mLastToken;
  SyncToken mSyncedToken;
  std::deque<PendingSync> mPendingSyncs;
  std::deque<MessageAwaitingSync> mMessagesAwaitingSync;
  /** Own entries up to here are on the disk. */
  LogIndex mDurable;
};

} // namespace peridotspool::control
