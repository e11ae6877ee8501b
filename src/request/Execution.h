#pragma once

#include "peridotspool/ledger/Operation.h"
#include "peridotspool/request/Event.h"
#include "request/Answer.h"
#include "request/ExecutionState.h"
#include "request/StepContext.h"

#include <memory>
#include <optional>
#include <vector>

namespace peridotspool::request {

class ExecutionStateMachine;

/** Why this entry became the executor. */
enum class ExecutionOrigin
{
  kAccepted,
  kTakenOver,
};

/**
 * One request at its executor: chooses upstreams, keeps the text that came,
 * retries within the rules for requests that may not run twice, and proposes
 * the outcome. It works under one executor turn and stops when that is lost.
 */
class Execution
{
public:
  Execution(const ledger::RequestRecord& aRecord, TimePoint aDeadline);
  ~Execution();

  /** Begins, after an accept that was admitted, or a takeover, is committed. */
  void Start(StepContext& aContext, ExecutionOrigin aWhy);
  /** Waits for its turn; Start follows, or the deadline. */
  void Wait(StepContext& aContext);
  /** Ends it before anything was sent. */
  void Refuse(StepContext& aContext, Tally aWhy, ledger::Outcome aOutcome);
  /** Takes the ledger's answer to one of this execution's proposals. */
  void OnLedgerAnswer(StepContext& aContext,
                      CallId aCall,
                      const ledger::OperationAnswer& aAnswer);
  void OnUpstream(StepContext& aContext, const UpstreamEvent& aEvent);
  /** Does what is due by time; see NextWake. */
  void OnTick(StepContext& aContext);
  /** The outcome was committed by someone else, for example a cancel. */
  void OnOutcome(StepContext& aContext, const ledger::Outcome& aOutcome);
  /** Another entry has become the executor. */
  void OnTurnLost(StepContext& aContext);

  const Answer& CurrentAnswer() const { return mAnswer; }
  const ledger::RequestRecord& Record() const { return mRecord; }
  TimePoint Deadline() const { return mDeadline; }
  /** When OnTick has something to do; never later than the deadline. */
  TimePoint NextWake() const { return mWake; }
  bool Ended() const;
  /** Returns true iff another entry could go on with the upstream's stream. */
  bool CanHandOver() const;
  /** Returns true iff the ended execution lost its turn. */
  bool LostTurn() const { return mLostTurn; }
  /** The upstream call under way; unset if there is none. */
  CallId UpstreamCall() const { return mUpstreamCall; }

private:
  /** The attempt at an upstream that is under way or was the last. */
  struct Attempt
  {
    AttemptNumber mNumber;
    UpstreamName mUpstream;
    Incarnation mIncarnation;
    Address mAddress;
    routing::UpstreamKind mKind = routing::UpstreamKind::kModelEngine;
    std::uint64_t mFromIndex = 0;
    std::uint32_t mResumes = 0;
  };

  void TryDispatch(StepContext& aContext);
  void OnNoRoute(StepContext& aContext, routing::NoRoute aWhy);
  void BeginAttempt(StepContext& aContext, const routing::RouteChoice& aChoice);
  void Send(StepContext& aContext, UpstreamMode aMode);
  bool TryResumeAtStart(StepContext& aContext);
  bool TryResumeSameStream(StepContext& aContext);
  void Resume(StepContext& aContext);

  void OnPiece(StepContext& aContext, const UpstreamPiece& aPiece);
  void OnDone(StepContext& aContext, const UpstreamDone& aDone);
  void OnRefused(StepContext& aContext, const UpstreamRefused& aRefused);
  void OnBroken(StepContext& aContext, const UpstreamBroken& aBroken);
  bool MatchesAttempt(const std::string& aRequest,
                      AttemptNumber aAttempt) const;

  routing::RouteQuery MakeQuery(const StepContext& aContext) const;
  void RetryLater(StepContext& aContext, Tally aWhy);
  void RefuseRetry(StepContext& aContext, routing::NoRetry aWhy);
  void RetryNotRun(StepContext& aContext, Tally aWhy);
  void RetryOrGiveUp(StepContext& aContext, Tally aWhy);
  void GiveUp(StepContext& aContext, ledger::Outcome aOutcome);
  void GiveUpOnDeadline(StepContext& aContext);
  ledger::Outcome MakeRefusal(const StepContext& aContext,
                              std::int32_t aStatus,
                              std::string aReason) const;
  ledger::Outcome MakeLostOutcome(std::string aReason) const;
  void ProposeFinish(StepContext& aContext);
  void Conclude(StepContext& aContext, const ledger::Outcome& aOutcome);

  void OnIntentAnswer(StepContext& aContext,
                      const ledger::OperationAnswer& aAnswer);
  void RecordIntent(const ledger::OperationAnswer& aAnswer);
  void OnVoidAnswer(StepContext& aContext,
                    const ledger::OperationAnswer& aAnswer);
  void OnFinishAnswer(StepContext& aContext,
                      const ledger::OperationAnswer& aAnswer);
  /** Handles verdicts that end this execution; false if it goes on. */
  bool HandleFinalVerdict(StepContext& aContext,
                          const ledger::OperationAnswer& aAnswer);

  void Propose(StepContext& aContext, ledger::Operation aOperation);
  void StopUpstream(StepContext& aContext, bool aCancelAttempt);
  void WakeAt(TimePoint aTime);
  std::string UpstreamRequestName() const;
  /** Returns true iff some upstream may have begun to run the request. */
  bool MayHaveRun() const { return mMayHaveRun; }

  ledger::RequestRecord mRecord;
  TimePoint mDeadline;
  std::unique_ptr<ExecutionStateMachine> mStateMachine;
  Answer mAnswer;
  /** Index of the next piece that counts. */
  std::uint64_t mNextIndex = 0;
  std::uint32_t mAttempts = 0;
  std::optional<Attempt> mAttempt;
  std::vector<UpstreamName> mAvoid;
  std::vector<std::uint64_t> mPromptBlocks;
  /** False while it waits to be admitted. */
  bool mAdmitted = false;
  CallId mUpstreamCall;
  CallId mProposal;
  /** True iff a retry's cause was that an upstream was lost. */
  bool mAfterLoss = false;
  bool mAfterTakeover = false;
  bool mMayHaveRun = false;
  /** What mMayHaveRun was before the last attempt. */
  bool mMayHaveRunBefore = false;
  bool mLostTurn = false;
  std::optional<ledger::Outcome> mPendingOutcome;
  TimePoint mQueuedSince;
  TimePoint mNotBefore;
  TimePoint mWake;
};

} // namespace peridotspool::request
