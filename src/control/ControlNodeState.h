#pragma once

#include "control/EntrySessions.h"
#include "control/EpochPlanner.h"
#include "control/ReplicaSetPlanner.h"
#include "peridotspool/control/Consensus.h"
#include "peridotspool/control/ControlEffect.h"
#include "peridotspool/control/ControlEvent.h"
#include "peridotspool/control/ControlOptions.h"
#include "peridotspool/control/RestoredState.h"
#include "peridotspool/control/StateMachine.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace peridotspool::control {

/** The parts of a control replica and how they play together. */
class ControlNodeState
{
public:
  ControlNodeState(ControlOptions aOptions,
                   RestoredState aState,
                   TimePoint aNow);

  ControlEffects Step(const ControlEvent& aEvent, TimePoint aNow);
  bool Leads(TimePoint aNow) const;
  bool IsConnected(TimePoint aNow) const;
  const MachineState& State() const { return mMachine.State(); }
  const ReplicaSet& Replicas() const;
  ReplicaId Self() const;
  std::vector<membership::EntryProfile> ReadyEntries(TimePoint aNow) const;
  bool Votes() const { return Replicas().IsVoter(Self()); }
  std::vector<Address> ReplicaAddresses() const;
  std::optional<Address> LeaderAddress() const;
  Term CurrentTerm() const;

private:
  /** An operator's request that waits for its log entry. */
  struct PendingCall
  {
    CallId mCall;
    Term mTerm;
  };
  struct PendingInForce
  {
    CallId mCall;
    Revision mRevision;
    TimePoint mDeadline;
  };
  /** A removed entry that may still take work by old settings. */
  struct Departed
  {
    EntryName mName;
    Revision mInForce;
    TimePoint mUntil;
  };
  struct Identity
  {
    ReplicaIdentity mIdentity;
    SyncToken mToken;
  };

  // ControlNodeState.cpp
  void Take(const FromReplicaEvent& aEvent);
  void Take(const SyncedEvent& aEvent);
  void Take(const TickEvent& aEvent);
  void RunConsensus(const ConsensusEvent& aEvent);
  void TakeEffect(SendReplicaEffect aEffect);
  void TakeEffect(PersistEffect aEffect);
  void TakeEffect(const CommittedEffect& aEffect);
  void TakeEffect(const InstalledEffect& aEffect);
  void ApplyEntry(const LogEntry& aEntry);
  void FinishCall(const LogEntry& aEntry, const ApplyResult& aResult);
  void CompactIfDue();
  void NoteRole();
  std::optional<LogIndex> Propose(Command aCommand);
  std::optional<Address> AddressOf(ReplicaId aReplica) const;
  void SendTo(const Address& aTo, ReplicaId aReplica, ReplicaMessage aMessage);
  void Notice(ControlNotice aNotice, std::string aText);
  // ControlVotes.cpp: what is told of elections
  void NoteVoteSent(const SendReplicaEffect& aSend);
  void NoteVoteHeard(ReplicaId aFrom, const ReplicaMessage& aMessage);
  void NoteVoteSaved(const PersistEffect& aWrite);

  // ControlJoin.cpp: replicas without an identity, and the replica set
  void NoteReplaced(const JoinRequest& aRequest);
  void TakeJoin(const Address& aReplyTo, const JoinRequest& aRequest);
  void TakeJoinReply(SystemId aSystem, const JoinReply& aReply);
  void AskForIdentity();
  void StartConsensus(RestoredState aState, SyncToken aLastToken);
  bool AnswerRemoved(const ReplicaEnvelope& aEnvelope);
  void TakeRemoved(const ReplicaEnvelope& aEnvelope);
  void PlanReplicas();
  void NoticeRefusal(const std::string& aText);

  // ControlEntries.cpp: sessions with entries
  void Take(const FromEntryEvent& aEvent);
  void TakeEntry(membership::EntryNonce aNonce,
                 const membership::EntryHeartbeat& aHeartbeat);
  void TakeEntry(membership::EntryNonce aNonce,
                 const membership::SettingsPull& aPull);
  void TakeEntry(membership::EntryNonce aNonce,
                 const membership::EpochPull& aPull);
  membership::HeartbeatResponse AnswerFor(
    membership::EntryNonce aNonce,
    const membership::EntryHeartbeat& aHeartbeat);
  void TakeStanding(membership::EntryNonce aNonce,
                    const membership::EntryHeartbeat& aHeartbeat,
                    membership::HeartbeatResponse& aAnswer);
  void SendToEntry(membership::EntryNonce aNonce,
                   membership::ToEntryMessage aMessage);
  void PushIfBehind(membership::EntryNonce aNonce, EntrySession& aSession);
  void PushSettings(membership::EntryNonce aNonce,
                    EntrySession& aSession,
                    Revision aHave);
  void PushEpochs(membership::EntryNonce aNonce,
                  EntrySession& aSession,
                  EpochNumber aHave);
  void PushToAll();
  void TakeEpochMade(const membership::EpochMap& aBefore);
  void NoteDeparted(const membership::Member& aMember);
  void PlanEpoch();
  void ReportSilence();

  // ControlOperators.cpp: operators' requests
  void Take(const OperatorEvent& aEvent);
  void TakeRequest(CallId aCall, const EditRequest& aRequest);
  void TakeRequest(CallId aCall, const InForceRequest& aRequest);
  void TakeRequest(CallId aCall, const SettingsRequest& aRequest);
  void TakeRequest(CallId aCall, const HistoryRequest& aRequest);
  void TakeRequest(CallId aCall, const DiffRequest& aRequest);
  void TakeRequest(CallId aCall, const DrainRequest& aRequest);
  void TakeRequest(CallId aCall, const StatusRequest& aRequest);
  void TakeRequest(CallId aCall, const FencingRequest& aRequest);
  void TakeRequest(CallId aCall, const DocumentRequest& aRequest);
  void TakeRequest(CallId aCall, const UsageRequest& aRequest);
  void TakeRequest(CallId aCall, const QuotaFloorsRequest& aRequest);
  void TakeRequest(CallId aCall, const QuarantineRequest& aRequest);
  void TakeRequest(CallId aCall, const TreatRequest& aRequest);
  void TakeRequest(CallId aCall, const RolloutStartRequest& aRequest);
  void TakeRequest(CallId aCall, const RolloutsRequest& aRequest);
  void TakeRequest(CallId aCall, const RolloutAbortRequest& aRequest);
  void TakeRequest(CallId aCall, const RolloutChangeRequest& aRequest);
  RolloutsAnswer Rollouts(const ServiceName& aService) const;
  QuarantineAnswer Quarantined() const;
  std::optional<EditAnswer> AnswerWithoutLog(const EditRequest& aRequest,
                                             std::uint64_t aDigest) const;
  void ProposeFor(CallId aCall, Command aCommand);
  void Answer(CallId aCall, OperatorAnswer aAnswer);
  InForceAnswer InForce(Revision aRevision) const;
  void AnswerInForce();
  void FailPendingCalls();
  StatusAnswer Status() const;

  ControlOptions mOptions;
  TimePoint mNow;
  ControlEffects mEffects;
  /** Empty until this replica has an identity. */
  std::optional<Consensus> mConsensus;
  std::optional<ReplicaIdentity> mIdentity;
  std::optional<Identity> mNewIdentity;
  /** Writes up to here were given out, also by an earlier identity. */
  SyncToken mTokensUsed;
  TimePoint mAskedAt;
  std::vector<Address> mSeeds;
  std::string mLastRefusal;
  std::map<ReplicaId, Address> mLearnedAddresses;

  StateMachine mMachine;
  LogIndex mApplied;
  LogIndex mCompactedAt;
  bool mHadLead = false;

  EntrySessions mSessions;
  std::vector<Departed> mDeparted;
  TimePoint mReportedAt;
  TimePoint mPlannedAt;
  TimePoint mExpiredAt;

  // A leader's memory.
  std::optional<EpochPlanner> mEpochPlanner;
  std::optional<ReplicaSetPlanner> mReplicaPlanner;
  std::optional<LogIndex> mEpochProposed;
  std::map<LogIndex, PendingCall> mPendingCalls;
  std::vector<PendingInForce> mPendingInForce;
  std::map<MemberId, std::vector<CallId>> mPendingDrains;
};

} // namespace peridotspool::control
