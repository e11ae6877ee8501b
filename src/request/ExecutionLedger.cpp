// An execution's proposals to the ledger, and the handling of its answers.

#include "peridotspool/base/Invariant.h"
#include "request/Execution.h"
#include "request/ExecutionStateMachine.h"

#include <utility>

namespace peridotspool::request {

void
Execution::ProposeFinish(StepContext& aContext)
{
  PERIDOTSPOOL_INVARIANT(mPendingOutcome.has_value());
  Propose(aContext,
          ledger::FinishOperation{ .mExecutorTurn = mRecord.mExecutorTurn,
                                   .mOutcome = *mPendingOutcome });
}

void
Execution::Propose(StepContext& aContext, ledger::Operation aOperation)
{
  mProposal = aContext.NewCall();
  aContext.mEffects.emplace_back(
    ProposeEffect{ mProposal, mRecord.mKey, std::move(aOperation) });
}

void
Execution::OnLedgerAnswer(StepContext& aContext,
                          CallId aCall,
                          const ledger::OperationAnswer& aAnswer)
{
  if (aCall != mProposal || HandleFinalVerdict(aContext, aAnswer)) {
    return;
  }
  switch (mStateMachine->State()) {
    case ExecutionState::kIntending:
      OnIntentAnswer(aContext, aAnswer);
      break;
    case ExecutionState::kVoiding:
      OnVoidAnswer(aContext, aAnswer);
      break;
    case ExecutionState::kFinishing:
      OnFinishAnswer(aContext, aAnswer);
      break;
    default:
      // The answer to the intent of an idempotent request, which is sent
      // without waiting for it.
      break;
  }
}

bool
Execution::HandleFinalVerdict(StepContext& aContext,
                              const ledger::OperationAnswer& aAnswer)
{
  if (aAnswer.mVerdict == ledger::Verdict::kOldTurn ||
      aAnswer.mVerdict == ledger::Verdict::kNoSuchRequest) {
    OnTurnLost(aContext);
    return true;
  }
  if (aAnswer.mVerdict == ledger::Verdict::kFinished && aAnswer.mRecord &&
      aAnswer.mRecord->mOutcome) {
    OnOutcome(aContext, *aAnswer.mRecord->mOutcome);
    return true;
  }
  return false;
}

void
Execution::OnIntentAnswer(StepContext& aContext,
                          const ledger::OperationAnswer& aAnswer)
{
  if (aAnswer.mVerdict == ledger::Verdict::kMayHaveRun) {
    GiveUp(aContext, MakeLostOutcome("may-have-run"));
    return;
  }
  if (aAnswer.mVerdict != ledger::Verdict::kDone) {
    // The intent may or may not be committed; sending the request now could run
    // it a second time, after another executor's attempt.
    Propose(aContext,
            ledger::IntendOperation{
              .mExecutorTurn = mRecord.mExecutorTurn,
              .mIntent = { .mAttempt = mAttempt->mNumber,
                           .mUpstream = mAttempt->mUpstream,
                           .mIncarnation = mAttempt->mIncarnation,
                           .mFromIndex = mAttempt->mFromIndex } });
    return;
  }
  RecordIntent(aAnswer);
  if (aContext.mNow >= mDeadline) {
    RetryNotRun(aContext, Tally::kRefusedDeadline);
    return;
  }
  mStateMachine->Apply(ExecutionEvent::kDispatch);
  Send(aContext,
       GenerateMode{ .mPrefix = mAnswer.mText, .mFromIndex = mNextIndex });
}

void
Execution::RecordIntent(const ledger::OperationAnswer& aAnswer)
{
  // The ledger omits the terms from its answers to an executor, which has them,
  // so only the intent is copied from the record.
  if (aAnswer.mRecord) {
    mRecord.mIntent = aAnswer.mRecord->mIntent;
    mRecord.mIntentVoid = aAnswer.mRecord->mIntentVoid;
  }
}

void
Execution::OnVoidAnswer(StepContext& aContext,
                        const ledger::OperationAnswer& aAnswer)
{
  if (aAnswer.mVerdict != ledger::Verdict::kDone) {
    Propose(aContext,
            ledger::VoidIntentOperation{ .mExecutorTurn = mRecord.mExecutorTurn,
                                         .mAttempt = mAttempt->mNumber });
    return;
  }
  mMayHaveRun = false;
  RecordIntent(aAnswer);
  if (aContext.mNow >= mDeadline) {
    GiveUpOnDeadline(aContext);
    return;
  }
  RetryLater(aContext, Tally::kRetryUpstreamRefused);
}

void
Execution::OnFinishAnswer(StepContext& aContext,
                          const ledger::OperationAnswer& aAnswer)
{
  if (aAnswer.mVerdict == ledger::Verdict::kDone) {
    Conclude(aContext, *mPendingOutcome);
    return;
  }
  if (aAnswer.mVerdict == ledger::Verdict::kMayHaveRun) {
    mPendingOutcome = MakeLostOutcome("may-have-run");
  }
  if (aContext.mNow > mDeadline + aContext.mOptions.mFinishGrace) {
    // The ledger stayed unreachable for the whole grace period. The callers
    // receive at least an outcome that says the result is not known.
    mAnswer.mOutcome = MakeLostOutcome("ledger-lost");
    mStateMachine->Apply(ExecutionEvent::kFinishCommitted);
    return;
  }
  ProposeFinish(aContext);
}

void
Execution::Conclude(StepContext& aContext, const ledger::Outcome& aOutcome)
{
  mStateMachine->Apply(ExecutionEvent::kFinishCommitted);
  const Answer answer = MakeAnswer(aOutcome, mRecord.mExecutor);
  if (answer.mLineage.IsSet()) {
    mAnswer = answer;
  } else {
    mAnswer.mOutcome = aOutcome;
  }
  switch (aOutcome.mKind) {
    case ledger::OutcomeKind::kAnswered:
      aContext.Count(Tally::kAnswered);
      break;
    case ledger::OutcomeKind::kFailed:
      aContext.Count(Tally::kFailed);
      break;
    case ledger::OutcomeKind::kUnknown:
      aContext.Count(Tally::kUnknownOutcome);
      break;
    case ledger::OutcomeKind::kCancelled:
      aContext.Count(Tally::kCancelled);
      break;
    case ledger::OutcomeKind::kRefused:
      break;
  }
}

void
Execution::OnOutcome(StepContext& aContext, const ledger::Outcome& aOutcome)
{
  if (Ended()) {
    return;
  }
  StopUpstream(aContext, routing::AttemptEnd::kCancelled);
  mStateMachine->Apply(ExecutionEvent::kGiveUp);
  Conclude(aContext, aOutcome);
}

void
Execution::OnTurnLost(StepContext& aContext)
{
  if (!mStateMachine->Apply(ExecutionEvent::kTurnLost)) {
    return;
  }
  mLostTurn = true;
  aContext.Count(Tally::kTurnLost);
  // The next executor now owns the engine's stream, so the connection is closed
  // but the stream is not cancelled.
  StopUpstream(aContext);
}

} // namespace peridotspool::request
