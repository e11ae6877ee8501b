// Retries and final failures of an execution.

#include "request/Execution.h"
#include "request/ExecutionStateMachine.h"

#include <algorithm>
#include <utility>

namespace peridotspool::request {

namespace {

constexpr std::int32_t kStatusBadGateway = 502;
constexpr std::int32_t kStatusUnavailable = 503;
constexpr std::int32_t kStatusGatewayTimeout = 504;

} // namespace

void
Execution::RetryNotRun(StepContext& aContext, Tally aWhy)
{
  mMayHaveRun = mMayHaveRunBefore;
  if (mRecord.mTerms.mIdempotent) {
    RetryLater(aContext, aWhy);
    return;
  }
  // The committed intent forbids another attempt on every replica until it is
  // voided.
  mStateMachine->Apply(ExecutionEvent::kMustVoid);
  aContext.Count(aWhy);
  Propose(aContext,
          ledger::VoidIntentOperation{ .mExecutorTurn = mRecord.mExecutorTurn,
                                       .mAttempt = mAttempt->mNumber });
}

void
Execution::RetryOrGiveUp(StepContext& aContext, Tally aWhy)
{
  if (mRecord.mTerms.mIdempotent) {
    RetryLater(aContext, aWhy);
    return;
  }
  GiveUp(aContext, MakeLostOutcome("upstream-lost"));
}

void
Execution::RetryLater(StepContext& aContext, Tally aWhy)
{
  const auto decision = aContext.mAdmission.DecideRetry(
    mRecord.mKey.mCustomer,
    mRecord.mTerms.mService,
    routing::FailedAttempt{ .mAttempts = mAttempts,
                            .mDeadline = mDeadline,
                            .mRandom = aContext.mRandom() },
    aContext.mNow);
  if (const auto* noRetry = std::get_if<routing::NoRetry>(&decision)) {
    RefuseRetry(aContext, *noRetry);
    return;
  }
  if (!mStateMachine->Apply(ExecutionEvent::kRetry)) {
    return;
  }
  aContext.Count(aWhy);
  const Duration pause = std::get<routing::RetryAfterPause>(decision).mPause;
  mNotBefore = std::max(mNotBefore, aContext.mNow + pause);
  mQueuedSince = aContext.mNow;
  WakeAt(mNotBefore);
}

void
Execution::RefuseRetry(StepContext& aContext, routing::NoRetry aWhy)
{
  switch (aWhy) {
    case routing::NoRetry::kAttemptsSpent:
      aContext.Count(Tally::kRefusedRetriesSpent);
      GiveUp(aContext,
             MakeRefusal(aContext, kStatusBadGateway, "retries-spent"));
      return;
    case routing::NoRetry::kBudgetSpent:
      aContext.Count(Tally::kRefusedRetryBudget);
      GiveUp(aContext,
             MakeRefusal(aContext, kStatusUnavailable, "retry-budget"));
      return;
    case routing::NoRetry::kDeadlineTooNear:
      aContext.Count(Tally::kRefusedDeadline);
      GiveUp(aContext,
             MakeRefusal(aContext, kStatusGatewayTimeout, "deadline"));
      return;
  }
}

ledger::Outcome
Execution::MakeRefusal(const StepContext& aContext,
                       std::int32_t aStatus,
                       std::string aReason) const
{
  // An outcome is kRefused, which guarantees that the request did not run, only
  // if no upstream can have started it.
  return ledger::Outcome{ .mKind = MayHaveRun() ? ledger::OutcomeKind::kFailed
                                                : ledger::OutcomeKind::kRefused,
                          .mStatus = aStatus,
                          .mReason = std::move(aReason),
                          .mRetryAfter = aContext.mOptions.mRetryAfter };
}

ledger::Outcome
Execution::MakeLostOutcome(std::string aReason) const
{
  const bool once = !mRecord.mTerms.mIdempotent;
  ledger::Outcome outcome{ .mKind = once ? ledger::OutcomeKind::kUnknown
                                         : ledger::OutcomeKind::kFailed,
                           .mStatus = kStatusBadGateway,
                           .mReason = std::move(aReason) };
  if (mRecord.mIntent) {
    outcome.mAttempt = mRecord.mIntent->mAttempt;
    outcome.mUpstream = mRecord.mIntent->mUpstream;
  }
  return outcome;
}

void
Execution::GiveUpOnDeadline(StepContext& aContext)
{
  if (mStateMachine->State() == ExecutionState::kIntending) {
    // The intent may be committed already; the ledger's answer decides.
    return;
  }
  if (!MayHaveRun()) {
    aContext.Count(Tally::kRefusedDeadline);
    GiveUp(aContext, MakeRefusal(aContext, kStatusGatewayTimeout, "deadline"));
    return;
  }
  ledger::Outcome outcome = MakeLostOutcome("deadline");
  outcome.mStatus = kStatusGatewayTimeout;
  GiveUp(aContext, std::move(outcome));
}

void
Execution::GiveUp(StepContext& aContext, ledger::Outcome aOutcome)
{
  if (!mStateMachine->Apply(ExecutionEvent::kGiveUp)) {
    return;
  }
  StopUpstream(aContext, routing::AttemptEnd::kCancelled);
  mPendingOutcome = std::move(aOutcome);
  ProposeFinish(aContext);
}

std::size_t
Execution::HeldBytes() const
{
  const ExecutionState state = mStateMachine->State();
  const bool mayGrow = state == ExecutionState::kQueued ||
                       state == ExecutionState::kDispatched ||
                       state == ExecutionState::kStreaming;
  return mayGrow ? mAnswer.mText.size() + mHostBytes : 0;
}

UpstreamName
Execution::Upstream() const
{
  return mAttempt ? mAttempt->mUpstream : UpstreamName();
}

// A resumed stream would go on growing, and another upstream would continue the
// text, so the text ends the request.
void
Execution::EndOverBound(StepContext& aContext, Tally aBound)
{
  aContext.Count(aBound);
  StopUpstream(aContext, routing::AttemptEnd::kFailed);
  mAfterLoss = true;
  if (mAnswer.mText.empty()) {
    mAvoid.push_back(mAttempt->mUpstream);
    RetryOrGiveUp(aContext, Tally::kRetryResponseBound);
    return;
  }
  mAnswer.mText = {};
  GiveUp(aContext, MakeLostOutcome("answer-over-bound"));
}

void
Execution::StopUpstream(StepContext& aContext,
                        std::optional<routing::AttemptEnd> aAttemptEnd)
{
  if (!mUpstreamCall.IsSet()) {
    return;
  }
  aContext.mEffects.emplace_back(DropUpstreamEffect{ mUpstreamCall });
  mUpstreamCall = CallId();
  mHostBytes = 0;
  if (aAttemptEnd) {
    aContext.mRouter.Ended(mAttempt->mUpstream, *aAttemptEnd, aContext.mNow);
    aContext.mEffects.emplace_back(CancelUpstreamEffect{ mAttempt->mAddress,
                                                         mAttempt->mKind,
                                                         UpstreamRequestName(),
                                                         mAttempt->mNumber });
  }
}

} // namespace peridotspool::request
