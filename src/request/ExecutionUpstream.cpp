// Handles the events of an execution's upstream call.

#include "peridotspool/base/Overloaded.h"
#include "request/Execution.h"
#include "request/ExecutionStateMachine.h"

#include <utility>

namespace peridotspool::request {

namespace {

/** Maximum number of resumes of a stream without a new piece; then the upstream
 * counts as lost. */
constexpr std::uint32_t kMaxResumes = 2;
constexpr std::int32_t kStatusOk = 200;
constexpr std::uint32_t kFirstServerError = 500;
constexpr std::uint32_t kStatusUnavailable = 503;

} // namespace

void
Execution::OnUpstream(StepContext& aContext, const UpstreamEvent& aEvent)
{
  const ExecutionState state = mStateMachine->State();
  const bool expected =
    aEvent.mCall == mUpstreamCall && (state == ExecutionState::kDispatched ||
                                      state == ExecutionState::kStreaming);
  if (!expected) {
    aContext.Count(Tally::kLatePieceDropped);
    return;
  }
  mHostBytes = 0;
  std::visit(
    Overloaded{
      [&](const UpstreamHeld& aHeld) { mHostBytes = aHeld.mBytes; },
      [&](const UpstreamPiece& aPiece) { OnPiece(aContext, aPiece); },
      [&](const UpstreamDone& aDone) { OnDone(aContext, aDone); },
      [&](const UpstreamRefused& aRefused) { OnRefused(aContext, aRefused); },
      [&](const UpstreamBroken& aBroken) { OnBroken(aContext, aBroken); } },
    aEvent.mOutcome);
}

bool
Execution::MatchesAttempt(const std::string& aRequest,
                          AttemptNumber aAttempt) const
{
  return aRequest == UpstreamRequestName() && aAttempt == mAttempt->mNumber;
}

void
Execution::OnPiece(StepContext& aContext, const UpstreamPiece& aPiece)
{
  if (!MatchesAttempt(aPiece.mRequest, aPiece.mAttempt)) {
    // The upstream mixed up answers. The piece belongs to another request or
    // attempt and must never reach this caller; the stream continues.
    aContext.Count(Tally::kCrossedPieceDropped);
    return;
  }
  if (aPiece.mIndex < mNextIndex) {
    aContext.Count(Tally::kLatePieceDropped);
    return;
  }
  if (aPiece.mIndex > mNextIndex) {
    // A piece is missing, for example because it went to another request. To
    // avoid a gap in the answer, the stream is resumed from the missing piece.
    StopUpstream(aContext);
    OnBroken(aContext, UpstreamBroken{ .mReason = "gap in the stream" });
    return;
  }
  if (!mAnswer.mLineage.IsSet()) {
    mAnswer.mLineage = mAttempt->mNumber;
    mTextVersion = mAttempt->mVersion;
  }
  mStateMachine->Apply(ExecutionEvent::kPiece);
  ++mNextIndex;
  mAttempt->mResumes = 0;
  mAnswer.mText += aPiece.mText;
}

void
Execution::OnDone(StepContext& aContext, const UpstreamDone& aDone)
{
  if (!MatchesAttempt(aDone.mRequest, aDone.mAttempt)) {
    aContext.Count(Tally::kCrossedPieceDropped);
    StopUpstream(aContext);
    OnBroken(aContext, UpstreamBroken{ .mReason = "crossed answer" });
    return;
  }
  const bool engine = mAttempt->mKind == routing::UpstreamKind::kModelEngine;
  if (engine && aDone.mTokens != mNextIndex) {
    StopUpstream(aContext);
    OnBroken(aContext, UpstreamBroken{ .mReason = "answer ended early" });
    return;
  }
  mUpstreamCall = CallId();
  aContext.mRouter.Ended(
    mAttempt->mUpstream, routing::AttemptEnd::kCompleted, aContext.mNow);
  if (engine) {
    aContext.mRouter.Answered(
      mAttempt->mUpstream, MakeQuery(aContext), aDone.mCachedTokens);
  }
  if (aDone.mRecomputedTokens > 0) {
    aContext.Count(mAfterTakeover ? Tally::kRecomputedAfterTakeover
                                  : Tally::kRecomputedAfterUpstreamLoss,
                   aDone.mRecomputedTokens);
  }
  if (!engine) {
    mAnswer.mLineage = mAttempt->mNumber;
    mAnswer.mText = aDone.mResult;
  }
  mStateMachine->Apply(ExecutionEvent::kComplete);
  mPendingOutcome = ledger::Outcome{ .mKind = ledger::OutcomeKind::kAnswered,
                                     .mStatus = kStatusOk,
                                     .mBody = mAnswer.mText,
                                     .mAttempt = mAttempt->mNumber,
                                     .mUpstream = mAttempt->mUpstream,
                                     .mLineage = mAnswer.mLineage };
  ProposeFinish(aContext);
}

void
Execution::OnRefused(StepContext& aContext, const UpstreamRefused& aRefused)
{
  mUpstreamCall = CallId();
  const bool asksForRest =
    aRefused.mRetryAfter > Duration(0) &&
    (aRefused.mDidNotRun || aRefused.mStatus == kStatusUnavailable);
  aContext.mRouter.Ended(mAttempt->mUpstream,
                         asksForRest ? routing::AttemptEnd::kTurnedAway
                                     : routing::AttemptEnd::kFailed,
                         aContext.mNow);
  if (asksForRest) {
    aContext.mRouter.RecordRest(mAttempt->mUpstream,
                                mAttempt->mIncarnation,
                                aRefused.mRetryAfter,
                                aContext.mNow);
  }
  if (aRefused.mNoSuchStream && mAttempt->mResumes > 0) {
    RetryOrGiveUp(aContext, Tally::kRetryStreamGone);
    return;
  }
  if (aRefused.mDidNotRun) {
    mAvoid.push_back(mAttempt->mUpstream);
    RetryNotRun(aContext, Tally::kRetryUpstreamRefused);
    return;
  }
  if (aRefused.mStatus >= kFirstServerError) {
    RetryOrGiveUp(aContext, Tally::kRetryUpstreamRefused);
    return;
  }
  // The upstream rejected the request as such; a retry would be rejected
  // again.
  GiveUp(
    aContext,
    ledger::Outcome{ .mKind = ledger::OutcomeKind::kFailed,
                     .mStatus = static_cast<std::int32_t>(aRefused.mStatus),
                     .mReason = "upstream-rejected",
                     .mAttempt = mAttempt->mNumber,
                     .mUpstream = mAttempt->mUpstream });
}

void
Execution::OnBroken(StepContext& aContext, const UpstreamBroken& aBroken)
{
  mUpstreamCall = CallId();
  const Tally why =
    aBroken.mTimedOut ? Tally::kRetrySilent : Tally::kRetryConnectionBroken;
  if (aBroken.mMayHaveRun && TryResumeSameStream(aContext)) {
    aContext.Count(why);
    return;
  }
  aContext.mRouter.Ended(mAttempt->mUpstream,
                         aBroken.mTimedOut ? routing::AttemptEnd::kTimedOut
                                           : routing::AttemptEnd::kFailed,
                         aContext.mNow);
  mAvoid.push_back(mAttempt->mUpstream);
  mAfterLoss = true;
  if (!aBroken.mMayHaveRun && mAttempt->mResumes == 0) {
    RetryNotRun(aContext, why);
  } else {
    RetryOrGiveUp(aContext, why);
  }
}

bool
Execution::TryResumeSameStream(StepContext& aContext)
{
  // The connection may be dead while the engine still generates, for example
  // because a network device between them dropped the connection's state. A new
  // connection to the same stream recomputes nothing and is no second run.
  const bool engine = mAttempt->mKind == routing::UpstreamKind::kModelEngine;
  if (!engine || mAttempt->mResumes >= kMaxResumes) {
    return false;
  }
  Resume(aContext);
  return true;
}

} // namespace peridotspool::request
