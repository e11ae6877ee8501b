#pragma once

#include "peridotspool/request/RequestManager.h"
#include "request/HeldAnswers.h"
#include "request/LocalRequest.h"
#include "request/PendingProposal.h"

#include <functional>
#include <map>
#include <random>
#include <set>
#include <unordered_map>

namespace peridotspool::request {

/** Implements RequestManager. */
class RequestManagerState
{
public:
  RequestManagerState(MemberId aSelf,
                      RequestOptions aOptions,
                      routing::Router& aRouter);

  Effects Step(const Event& aEvent, TimePoint aNow);

  std::size_t Running() const;
  std::size_t Callers() const;
  std::size_t HeldBytes() const { return mHeldAnswers.Bytes(); }

private:
  void On(const SubmitEvent& aEvent);
  void On(const AttachEvent& aEvent);
  void On(const CancelEvent& aEvent);
  void On(const AcknowledgeEvent& aEvent);
  void On(const ShowEvent& aEvent);
  void On(const CallerGoneEvent& aEvent);
  void On(const LedgerAnsweredEvent& aEvent);
  void On(const OrphanedEvent& aEvent);
  void On(const UpstreamEvent& aEvent);
  void On(const RelayEvent& aEvent);
  void On(const MembersEvent& aEvent);
  void On(const SettingsEvent& aEvent);
  void On(const DrainEvent& aEvent);
  void On(const AbandonEvent& aEvent);
  void On(const TickEvent& aEvent);

  void OnAccepted(const RequestKey& aKey,
                  const AcceptPending& aPending,
                  const ledger::OperationAnswer& aAnswer);
  void OnResolved(const RequestKey& aKey,
                  const ledger::OperationAnswer& aAnswer);
  void OnTakenOver(const RequestKey& aKey,
                   const TakeOverPending& aPending,
                   const ledger::OperationAnswer& aAnswer);
  void OnConfirmed(const RequestKey& aKey,
                   const ConfirmPending& aPending,
                   const ledger::OperationAnswer& aAnswer);
  void OnShown(const ShowPending& aPending,
               const ledger::OperationAnswer& aAnswer);
  void OnExecutionAnswer(const RequestKey& aKey,
                         CallId aCall,
                         const ledger::OperationAnswer& aAnswer);

  void OnRelay(MemberId aFrom, const FollowMessage& aMessage);
  void OnRelay(MemberId aFrom, const PieceMessage& aMessage);
  void OnRelay(MemberId aFrom, const EndedMessage& aMessage);
  void OnRelay(MemberId aFrom, const NotExecutorMessage& aMessage);
  void OnRelay(MemberId aFrom, const HandOverMessage& aMessage);
  void OnRelay(MemberId aFrom, const TakenOverMessage& aMessage);
  void OnRelay(MemberId aFrom, const DemandMessage& aMessage);

  /** Requests admission, then starts, queues or refuses the execution. */
  void Admit(const RequestKey& aKey);
  void StartAdmitted(const RequestKey& aKey);
  /** Reports the end of a request to admission and starts the queued requests
   * that may run now. */
  void EndAdmitted(const RequestKey& aKey,
                   const ServiceName& aService,
                   TimePoint aAdmittedAt);
  void StartNext();
  /** Performs the periodic work of admission. */
  void TickAdmission();
  void PublishDemand();

  /** Handles a record: publishes the outcome, follows the executor or proposes
   * a takeover. */
  void OnRecord(const RequestKey& aKey, const ledger::RequestRecord& aRecord);
  void Resolve(const RequestKey& aKey);
  void ProposeTakeOver(const RequestKey& aKey,
                       AttemptNumber aTurn,
                       MemberId aFrom);
  void Follow(const RequestKey& aKey, const ledger::RequestRecord& aRecord);
  void QueryExecutor(const RequestKey& aKey, LocalRequest& aRequest);
  void BeginExecution(const RequestKey& aKey,
                      const ledger::OperationAnswer& aAnswer,
                      ExecutionOrigin aWhy);
  void HandOver(const RequestKey& aKey, LocalRequest& aRequest);
  std::optional<MemberId> HandOverTarget(const RequestKey& aKey) const;

  /** Publishes a request's new text and outcome, schedules its next wake-up,
   * and removes it if it is unused. */
  void PublishProgress(const RequestKey& aKey);
  void PublishExecutionProgress(const RequestKey& aKey, LocalRequest& aRequest);
  void RecordHeld(const RequestKey& aKey);
  /** Gives up answers until all are within their bounds, after one has grown.
   */
  void EnforceBounds(const RequestKey& aGrown);
  void SetWake(const RequestKey& aKey, LocalRequest& aRequest, TimePoint aWake);
  void HandleWake(const RequestKey& aKey);
  void FollowTick(const RequestKey& aKey, LocalRequest& aRequest);

  CallId Propose(const RequestKey& aKey,
                 ledger::Operation aOperation,
                 PendingProposal aPending);
  void ReplyTo(CallId aExchange, Reply aReply);
  void RefuseExchange(CallId aExchange,
                      std::int32_t aStatus,
                      std::string aReason);
  bool IsMember(MemberId aMember) const;
  bool IsDraining(MemberId aMember) const;

  using UseExecution = std::function<void(Execution&, StepContext&)>;
  /** Calls aUse with a context, then registers the proposals and the upstream
   * calls that it made for the request. */
  void WithExecution(const RequestKey& aKey, const UseExecution& aUse);
  /** Removes the exchanges that received their last reply. */
  void RemoveAnsweredExchanges(const Effects& aEffects);
  void RegisterNewEffects(const RequestKey& aKey, std::size_t aFrom);

  MemberId mSelf;
  RequestOptions mOptions;
  routing::Router& mRouter;
  AdmissionController mAdmission;
  std::mt19937_64 mRandom;
  CallId mLastCall;
  bool mDraining = false;
  std::map<MemberId, membership::MemberState> mMembers;
  std::unordered_map<RequestKey, LocalRequest> mRequests;
  HeldAnswers mHeldAnswers;
  std::unordered_map<CallId, PendingProposal> mProposals;
  std::unordered_map<CallId, RequestKey> mUpstreamCalls;
  std::unordered_map<CallId, RequestKey> mExchanges;
  std::set<std::pair<TimePoint, RequestKey>> mWakes;
  TimePoint mNextAdmissionTick;
  TimePoint mNextDemand;

  // Valid only during a step.
  TimePoint mNow;
  Effects* mEffects = nullptr;
};

} // namespace peridotspool::request
