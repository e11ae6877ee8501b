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

/** How this entry became the executor. */
enum class ExecutionOrigin
{
  kAccepted,
  kTakenOver,
};

/**
 * Runs one request at its executor: chooses upstreams, collects the answer's
 * text, retries without running a non-idempotent request twice, and proposes
 * the outcome. It belongs to one executor turn, the number that fences
 * executors, and stops when another executor takes over.
 */
class Execution
{
public:
  Execution(const ledger::RequestRecord& aRecord, TimePoint aDeadline);
  ~Execution();

  /** Starts the request, once its acceptance is committed and it is admitted,
   * or once a takeover is committed. */
  void Start(StepContext& aContext, ExecutionOrigin aWhy);
  /** Queues the request until Start is called or the deadline passes. */
  void Wait(StepContext& aContext);
  /** Ends the request with a refusal before it is sent to an upstream. */
  void Refuse(StepContext& aContext, Tally aWhy, ledger::Outcome aOutcome);
  /** Handles the ledger's answer to a proposal of this execution. */
  void OnLedgerAnswer(StepContext& aContext,
                      CallId aCall,
                      const ledger::OperationAnswer& aAnswer);
  void OnUpstream(StepContext& aContext, const UpstreamEvent& aEvent);
  /** Performs the work that is due now; see NextWake. */
  void OnTick(StepContext& aContext);
  /** Handles an outcome that this execution did not commit, for example a
   * cancellation. */
  void OnOutcome(StepContext& aContext, const ledger::Outcome& aOutcome);
  /** Handles the loss of the executor turn to another entry. */
  void OnTurnLost(StepContext& aContext);

  /** Gives up what is held of the answer: its upstream is called no more, and
   * the request is retried only if its callers have no part of it. */
  void EndOverBound(StepContext& aContext, Tally aBound);

  const Answer& CurrentAnswer() const { return mAnswer; }
  /** Returns the bytes held of an answer that may still grow. */
  std::size_t HeldBytes() const;
  /** Returns the upstream of the last attempt; empty before the first. */
  UpstreamName Upstream() const;
  const ledger::RequestRecord& Record() const { return mRecord; }
  TimePoint Deadline() const { return mDeadline; }
  /** Returns when OnTick must be called next; never later than the deadline. */
  TimePoint NextWake() const { return mWake; }
  bool Ended() const;
  /** Returns true iff another entry could resume the upstream's stream. */
  bool CanHandOver() const;
  /** Returns true iff the execution ended because another entry took over. */
  bool LostTurn() const { return mLostTurn; }
  /** Returns the current upstream call; unset if there is none. */
  CallId UpstreamCall() const { return mUpstreamCall; }

private:
  /** The current or most recent attempt at an upstream. */
  struct Attempt
  {
    AttemptNumber mNumber;
    UpstreamName mUpstream;
    Incarnation mIncarnation;
    Address mAddress;
    routing::UpstreamKind mKind = routing::UpstreamKind::kModelEngine;
    VersionName mVersion;
    std::uint64_t mFromIndex = 0;
    std::uint32_t mResumes = 0;
  };

  void TryDispatch(StepContext& aContext);
  void OnNoRoute(StepContext& aContext, routing::NoRoute aWhy);
  void RefuseForRest(StepContext& aContext);
  void RestartText();
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
  /** Handles the verdicts that end this execution; returns false if it
   * continues. */
  bool HandleFinalVerdict(StepContext& aContext,
                          const ledger::OperationAnswer& aAnswer);

  void Propose(StepContext& aContext, ledger::Operation aOperation);
  /** @param aAttemptEnd how it ends at the upstream; empty if it may go on */
  void StopUpstream(StepContext& aContext,
                    std::optional<routing::AttemptEnd> aAttemptEnd = {});
  void WakeAt(TimePoint aTime);
  std::string UpstreamRequestName() const;
  /** Returns true iff an upstream may have started to run the request. */
  bool MayHaveRun() const { return mMayHaveRun; }

  ledger::RequestRecord mRecord;
  TimePoint mDeadline;
  std::unique_ptr<ExecutionStateMachine> mStateMachine;
  Answer mAnswer;
  /** Version of the upstream that began the text. */
  VersionName mTextVersion;
  /** Index of the next expected piece. */
  std::uint64_t mNextIndex = 0;
  std::uint32_t mAttempts = 0;
  std::optional<Attempt> mAttempt;
  std::vector<UpstreamName> mAvoid;
  std::vector<std::uint64_t> mPromptBlocks;
  /** False until the request is admitted. */
  bool mAdmitted = false;
  CallId mUpstreamCall;
  /** Bytes that the host holds of the call's response. */
  std::size_t mHostBytes = 0;
  CallId mProposal;
  /** True once an attempt failed because the connection to its upstream was
   * lost. */
  bool mAfterLoss = false;
  bool mAfterTakeover = false;
  bool mMayHaveRun = false;
  /** The value of `mMayHaveRun` before the last attempt. */
  bool mMayHaveRunBefore = false;
  bool mLostTurn = false;
  std::optional<ledger::Outcome> mPendingOutcome;
  TimePoint mQueuedSince;
  TimePoint mNotBefore;
  TimePoint mWake;
};

} // namespace peridotspool::request
