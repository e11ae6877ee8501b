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

/**
 * The implementation of ControlNode: connects the parts of a control replica.
 */
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
  const std::vector<membership::EntryProfile>& ReadyEntries(TimePoint aNow);
  bool Votes() const { return Replicas().IsVoter(Self()); }
  std::vector<Address> ReplicaAddresses() const;
  std::vector<Address> VoterAddresses() const;
  std::optional<Address> LeaderAddress() const;
  Term CurrentTerm() const;

private:
  /** An operator request that waits for its log entry to be applied. */
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
  /** A removed entry that may still accept work under old settings. */
  struct RemovedEntry
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
  void Handle(const FromReplicaEvent& aEvent);
  void Handle(const SyncedEvent& aEvent);
  void Handle(const TickEvent& aEvent);
  void RunConsensus(const ConsensusEvent& aEvent);
  void HandleEffect(SendReplicaEffect aEffect);
  void HandleEffect(PersistEffect aEffect);
  void HandleEffect(const CommittedEffect& aEffect);
  void HandleEffect(const InstalledEffect& aEffect);
  void ApplyEntry(const LogEntry& aEntry);
  void FinishCall(const LogEntry& aEntry, const ApplyResult& aResult);
  void CompactIfDue();
  void NoteRole();
  std::optional<LogIndex> Propose(Command aCommand);
  std::optional<Address> AddressOf(ReplicaId aReplica) const;
  void SendTo(const Address& aTo, ReplicaId aReplica, ReplicaMessage aMessage);
  void Notice(ControlNotice aNotice, std::string aText);
  // ControlVotes.cpp: log events about elections
  void LogVoteSent(const SendReplicaEffect& aSend);
  void LogVoteReceived(ReplicaId aFrom, const ReplicaMessage& aMessage);
  void LogVoteSaved(const PersistEffect& aWrite);

  // ControlJoin.cpp: replicas without an identity, and the replica set
  void RecordReplacedReplica(const JoinRequest& aRequest);
  void RecordReplicaAddress(const Address& aAddress);
  void HandleJoinRequest(const Address& aReplyTo, const JoinRequest& aRequest);
  void HandleJoinReply(SystemId aSystem, const JoinReply& aReply);
  void RequestIdentity();
  void StartConsensus(RestoredState aState, SyncToken aLastToken);
  bool NotifyIfRemoved(const ReplicaEnvelope& aEnvelope);
  void HandleRemovedNotice(const ReplicaEnvelope& aEnvelope);
  void PlanReplicas();
  void LogJoinRefusal(const std::string& aText);

  // ControlEntries.cpp: sessions with entries
  void Handle(const FromEntryEvent& aEvent);
  void HandleEntryMessage(membership::EntryNonce aNonce,
                          const membership::EntryHeartbeat& aHeartbeat);
  void HandleEntryMessage(membership::EntryNonce aNonce,
                          const membership::SettingsPull& aPull);
  void HandleEntryMessage(membership::EntryNonce aNonce,
                          const membership::EpochPull& aPull);
  membership::HeartbeatResponse HeartbeatResponseFor(
    membership::EntryNonce aNonce,
    const membership::EntryHeartbeat& aHeartbeat);
  std::vector<Address> RelaysFor(membership::EntryNonce aNonce) const;
  void ApplyMembershipStatus(membership::EntryNonce aNonce,
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
  void HandleEpochCommitted(const membership::EpochMap& aBefore);
  void RecordRemovedEntry(const membership::Member& aMember);
  void PlanEpoch();
  void ReportSilence();

  // ControlOperators.cpp: operators' requests
  void Handle(const OperatorEvent& aEvent);
  void HandleRequest(CallId aCall, const EditRequest& aRequest);
  void HandleRequest(CallId aCall, const InForceRequest& aRequest);
  void HandleRequest(CallId aCall, const SettingsRequest& aRequest);
  void HandleRequest(CallId aCall, const HistoryRequest& aRequest);
  void HandleRequest(CallId aCall, const DiffRequest& aRequest);
  void HandleRequest(CallId aCall, const DrainRequest& aRequest);
  void HandleRequest(CallId aCall, const StatusRequest& aRequest);
  void HandleRequest(CallId aCall, const FencingRequest& aRequest);
  void HandleRequest(CallId aCall, const DocumentRequest& aRequest);
  void HandleRequest(CallId aCall, const UsageRequest& aRequest);
  void HandleRequest(CallId aCall, const QuotaFloorsRequest& aRequest);
  void HandleRequest(CallId aCall, const QuarantineRequest& aRequest);
  void HandleRequest(CallId aCall, const QuarantineChangeRequest& aRequest);
  void HandleRequest(CallId aCall, const RolloutStartRequest& aRequest);
  void HandleRequest(CallId aCall, const RolloutsRequest& aRequest);
  void HandleRequest(CallId aCall, const RolloutAbortRequest& aRequest);
  void HandleRequest(CallId aCall, const RolloutChangeRequest& aRequest);
  RolloutsResponse Rollouts(const ServiceName& aService) const;
  QuarantineResponse Quarantined() const;
  std::optional<EditResponse> ResponseWithoutLog(const EditRequest& aRequest,
                                                 std::uint64_t aDigest) const;
  void ProposeFor(CallId aCall, Command aCommand);
  bool HasRoomFor(std::size_t aBytes) const;
  void Answer(CallId aCall, OperatorResponse aAnswer);
  InForceResponse InForce(Revision aRevision) const;
  void CompleteInForceRequests();
  void FailPendingCalls();
  StatusResponse Status() const;

  ControlOptions mOptions;
  TimePoint mNow;
  ControlEffects mEffects;
  /** Empty until this replica has an identity. */
  std::optional<Consensus> mConsensus;
  std::optional<ReplicaIdentity> mIdentity;
  std::optional<Identity> mNewIdentity;
  /** The latest write token issued, also under an earlier identity. */
  SyncToken mLastIssuedToken;
  TimePoint mAskedAt;
  std::vector<Address> mSeeds;
  std::string mLastRefusal;
  std::map<ReplicaId, Address> mLearnedAddresses;

  StateMachine mMachine;
  LogIndex mApplied;
  LogIndex mCompactedAt;
  /** Encoded bytes of the entries applied since mCompactedAt. */
  std::size_t mAppliedBytes = 0;
  bool mWasLeader = false;

  EntrySessions mSessions;
  std::vector<RemovedEntry> mRemovedEntries;
  TimePoint mReportedAt;
  TimePoint mPlannedAt;
  TimePoint mExpiredAt;

  // State that only a leader has.
  std::optional<EpochPlanner> mEpochPlanner;
  std::optional<ReplicaSetPlanner> mReplicaPlanner;
  std::optional<LogIndex> mEpochProposed;
  std::map<LogIndex, PendingCall> mPendingCalls;
  std::vector<PendingInForce> mPendingInForce;
  std::map<MemberId, std::vector<CallId>> mPendingDrains;
};

} // namespace peridotspool::control
