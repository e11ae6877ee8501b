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
  /**
   * Collects pre-votes to check whether it would be elected, without raising
   * its term.
   */
  kPreCandidate,
  kCandidate,
  kLeader,
};
BOOST_DESCRIBE_ENUM(Role, kFollower, kPreCandidate, kCandidate, kLeader)

/**
 * The replicated log: elections, replication, compaction and changes of the
 * replica set. Implements the Raft algorithm with pre-vote, check-quorum and
 * leader leases.
 *
 * A deterministic state machine without I/O. A message that makes a promise to
 * another replica is sent only after the write that backs the promise has
 * synced. Not thread-safe.
 */
class Consensus
{
public:
  /**
   * aState must have an identity; a replica with an empty data folder doesn't
   * participate. New write tokens follow aLastToken.
   */
  Consensus(ConsensusOptions aOptions,
            RestoredState aState,
            TimePoint aNow,
            SyncToken aLastToken = SyncToken());

  /**
   * Handles one event and returns the effects for the host to carry out, in
   * order.
   */
  ConsensusEffects Step(const ConsensusEvent& aEvent, TimePoint aNow);

  ReplicaId Self() const { return mSelf; }
  Role CurrentRole() const { return mRole; }
  Term CurrentTerm() const { return mVote.mTerm; }
  /** The leader of the current term; unset when it is unknown. */
  ReplicaId Leader() const { return mLeader; }
  LogIndex LastIndex() const { return mLog.LastIndex(); }
  LogIndex Commit() const { return mCommit; }
  /** The token of the latest write that was issued. */
  SyncToken LastToken() const { return mLastToken; }
  /** The number of entries held in memory. */
  std::size_t LogSize() const { return mLog.Size(); }
  /**
   * Encoded bytes of the writes that have not synced and of the entries that
   * are not committed: what a slow disk or slow followers let pile up.
   */
  std::size_t PendingBytes() const;
  /** The newest replica set in the log, committed or not. */
  const ReplicaSet& Replicas() const { return mSets.back().mSet; }
  /** Returns true iff no change of the replica set is in progress. */
  bool ReplicaSetSettled() const;
  /**
   * Returns true iff this replica leads, has committed an entry of its own
   * term, and no other replica can lead at aNow. Its state is then the newest.
   */
  bool LeaseHolds(TimePoint aNow) const;
  /**
   * Records that the process with this identity has ended and its disk is lost,
   * so no process has sent or will send messages under the identity during the
   * lifetime of this process.
   */
  void RecordEndedReplica(ReplicaId aReplica)
  {
    mEndedReplicas.insert(aReplica);
  }
  /**
   * Returns true iff this replica leads or received a message from the leader
   * within aTime.
   */
  bool HeardLeaderWithin(Duration aTime, TimePoint aNow) const;
  /** The replication progress of the other replicas; empty on a follower. */
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
    std::size_t mBytes = 0;
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
  /**
   * Schedules an early election attempt while the replica has only just
   * started: after a random time between half of and all of aPeriods startup
   * election periods. Falls back to the normal election timer otherwise.
   */
  void SetStartupElectionTimer(int aPeriods);
  bool HasHeardLeaderRecently() const;
  /**
   * Returns true iff the replica has neither led nor heard from a leader since
   * it started.
   */
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
  /**
   * Returns the first index at which the leader's log may differ from this one.
   */
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
  /**
   * When a message from a leader was last received. No vote is granted within
   * the election timeout after it, because the leader's lease relies on that.
   */
  TimePoint mHeardLeaderAt;
  TimePoint mElectionAt;
  TimePoint mStartedAt;
  /** Whether it has led or heard from a leader since it started. */
  bool mHadLeader = false;
  std::set<ReplicaId> mVotes;
  /**
   * Voters that, in this round of pre-votes, reported a restart and no known
   * leader.
   */
  std::set<ReplicaId> mRestarted;
  /** Replicas whose identity has ended; see RecordEndedReplica. */
  std::set<ReplicaId> mEndedReplicas;
  /**
   * Until then this replica leaves the election to a restarted replica with a
   * smaller id.
   */
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
  /** The replica's own entries up to this index are synced to disk. */
  LogIndex mDurable;
};

} // namespace peridotspool::control
