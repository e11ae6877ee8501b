#include "request/Execution.h"

#include "peridotspool/base/Invariant.h"
#include "peridotspool/base/Overloaded.h"
#include "request/Life.h"
#include "request/PromptBlocks.h"

#include <algorithm>
#include <utility>

namespace peridotspool::request {

namespace {

/** Attempts of one executor turn; a later turn's numbers never meet them. */
constexpr std::uint64_t kAttemptsOfTurn = 1000;
/** New connections tried for a stream before its upstream is given up. */
constexpr std::uint32_t kMaxResumes = 2;
/** A queued request looks for an upstream again after this long. */
constexpr Duration kQueuePoll = std::chrono::milliseconds(25);

constexpr std::int32_t kStatusUnavailable = 503;
constexpr std::int32_t kStatusGatewayTimeout = 504;
constexpr std::int32_t kStatusBadGateway = 502;
constexpr std::int32_t kStatusOk = 200;
constexpr std::uint32_t kFirstServerError = 500;

AttemptNumber
AttemptOf(AttemptNumber aTurn, std::uint32_t aTry)
{
  const std::uint64_t turn = aTurn.IsSet() ? aTurn.Value() - 1 : 0;
  return AttemptNumber(turn * kAttemptsOfTurn + aTry);
}

Tally
TallyOf(routing::NoRoute aWhy)
{
  switch (aWhy) {
    case routing::NoRoute::kNoUpstream:
      return Tally::kRefusedNoUpstream;
    case routing::NoRoute::kAllEjected:
      return Tally::kRefusedAllEjected;
    case routing::NoRoute::kDeadlineTooNear:
      return Tally::kRefusedDeadline;
    case routing::NoRoute::kQueueFull:
      return Tally::kRefusedQueueFull;
  }
  return Tally::kRefusedNoUpstream;
}

const char*
ReasonOf(routing::NoRoute aWhy)
{
  switch (aWhy) {
    case routing::NoRoute::kNoUpstream:
      return "no-upstream";
    case routing::NoRoute::kAllEjected:
      return "all-ejected";
    case routing::NoRoute::kDeadlineTooNear:
      return "deadline-too-near";
    case routing::NoRoute::kQueueFull:
      return "queue-full";
  }
  return "no-upstream";
}

} // namespace

Execution::Execution(const ledger::RequestRecord& aRecord, TimePoint aDeadline)
  : mRecord(aRecord)
  , mDeadline(aDeadline)
  , mLife(std::make_unique<Life>())
{
  mAnswer.mExecutor = aRecord.mExecutor;
}

Execution::~Execution() = default;

bool
Execution::Ended() const
{
  return mLife->State() == LifeState::kEnded;
}

bool
Execution::CanMove() const
{
  const LifeState state = mLife->State();
  const bool sent =
    state == LifeState::kDispatched || state == LifeState::kStreaming;
  return sent && mAttempt && mAttempt->mFromIndex == 0 &&
         mAttempt->mKind == routing::UpstreamKind::kModelEngine;
}

void
Execution::Start(StepContext& aContext, ExecutionStart aWhy)
{
  mAdmitted = true;
  mQueuedSince = aContext.mNow;
  mNotBefore = aContext.mNow;
  mPromptBlocks = PromptBlocks(mRecord.mTerms.mBody);
  mAfterTakeover = aWhy == ExecutionStart::kTakenOver;
  if (mAfterTakeover && TryResumeAtStart(aContext)) {
    return;
  }
  TryDispatch(aContext);
}

void
Execution::Wait(StepContext& /*aContext*/)
{
  WakeAt(mDeadline);
}

void
Execution::Refuse(StepContext& aContext, Tally aWhy, ledger::Outcome aOutcome)
{
  aContext.Count(aWhy);
  GiveUp(aContext, std::move(aOutcome));
}

bool
Execution::TryResumeAtStart(StepContext& aContext)
{
  if (!mRecord.mIntent || mRecord.mIntentVoid) {
    return false;
  }
  mMayHaveRun = true;
  const ledger::DispatchIntent& intent = *mRecord.mIntent;
  const auto upstream = aContext.mRouter.Find(intent.mUpstream, aContext.mNow);
  const bool resumable =
    upstream && upstream->mIncarnation == intent.mIncarnation &&
    upstream->mKind == routing::UpstreamKind::kModelEngine &&
    intent.mFromIndex == 0;
  if (resumable) {
    mAttempt = Attempt{ .mNumber = intent.mAttempt,
                        .mUpstream = intent.mUpstream,
                        .mIncarnation = intent.mIncarnation,
                        .mAddress = upstream->mAddress,
                        .mKind = upstream->mKind };
    mLife->Take(LifeEvent::kDispatch);
    Resume(aContext);
    return true;
  }
  if (!mRecord.mTerms.mIdempotent) {
    // The earlier executor may have sent it and the upstream that would know
    // can't be asked: sending it again could run it twice.
    GiveUp(aContext, MakeLoss("executor-lost"));
    return true;
  }
  return false;
}

void
Execution::Resume(StepContext& aContext)
{
  ++mAttempt->mResumes;
  aContext.Count(Tally::kResumedStream);
  Send(aContext, ResumeMode{ .mFromIndex = mNextIndex });
}

void
Execution::TryDispatch(StepContext& aContext)
{
  if (aContext.mNow >= mDeadline) {
    GiveUpOnDeadline(aContext);
    return;
  }
  if (aContext.mNow < mNotBefore) {
    WakeAt(mNotBefore);
    return;
  }
  if (!mAdmitted) {
    WakeAt(mDeadline);
    return;
  }
  const routing::RouteQuery query = MakeQuery(aContext);
  routing::NoRoute whyNot = routing::NoRoute::kNoUpstream;
  const auto choice = aContext.mRouter.Choose(query, aContext.mNow, whyNot);
  if (!choice) {
    OnNoRoute(aContext, whyNot);
    return;
  }
  aContext.mRouter.Sent(choice->mUpstream, query, aContext.mNow);
  BeginAttempt(aContext, *choice);
}

routing::RouteQuery
Execution::MakeQuery(const StepContext& aContext) const
{
  routing::RouteQuery query{ .mKey = mRecord.mKey,
                             .mService = mRecord.mTerms.mService,
                             .mPriority = mRecord.mTerms.mPriority,
                             .mDeadline = mDeadline,
                             .mPrefixBlocks = mPromptBlocks,
                             .mAvoid = mAvoid };
  const auto* rules =
    aContext.mDesk.Rules(mRecord.mKey.mCustomer, mRecord.mTerms.mService);
  if (rules != nullptr) {
    query.mFirstTokenTarget = rules->mFirstTokenTarget;
    aContext.mRouter.SetWeights(rules->mLatencyWeight, rules->mCostWeight);
  }
  return query;
}

void
Execution::OnNoRoute(StepContext& aContext, routing::NoRoute aWhy)
{
  // Upstreams that failed this request once are better than none at all.
  mAvoid.clear();
  const TimePoint giveUpAt = mQueuedSince + aContext.mOptions.mMaxQueueWait;
  const bool hopeless = aWhy == routing::NoRoute::kDeadlineTooNear ||
                        aWhy == routing::NoRoute::kQueueFull;
  if (!hopeless && aContext.mNow < giveUpAt) {
    WakeAt(std::min(aContext.mNow + kQueuePoll, giveUpAt));
    return;
  }
  aContext.Count(TallyOf(aWhy));
  GiveUp(aContext, MakeRefusal(aContext, kStatusUnavailable, ReasonOf(aWhy)));
}

void
Execution::BeginAttempt(StepContext& aContext,
                        const routing::RouteChoice& aChoice)
{
  if (mAttempts == 0) {
    aContext.mDesk.CountFirstTry(mRecord.mTerms.mService);
  }
  ++mAttempts;
  mAttempt = Attempt{ .mNumber = AttemptOf(mRecord.mExecutorTurn, mAttempts),
                      .mUpstream = aChoice.mUpstream,
                      .mIncarnation = aChoice.mIncarnation,
                      .mAddress = aChoice.mAddress,
                      .mKind = aChoice.mKind,
                      .mFromIndex = mNextIndex };
  aContext.mEffects.emplace_back(
    ExplainEffect{ mRecord.mKey, mAttempt->mNumber, aChoice });
  // A request that may run again is sent while its intent is being committed:
  // losing the intent costs a recomputation, waiting for it costs every first
  // token a round trip. One that may not is sent only after the commit.
  const bool once = !mRecord.mTerms.mIdempotent;
  mLife->Take(once ? LifeEvent::kIntend : LifeEvent::kDispatch);
  Propose(aContext,
          ledger::IntendOperation{
            .mExecutorTurn = mRecord.mExecutorTurn,
            .mIntent = { .mAttempt = mAttempt->mNumber,
                         .mUpstream = mAttempt->mUpstream,
                         .mIncarnation = mAttempt->mIncarnation,
                         .mFromIndex = mAttempt->mFromIndex } });
  if (once) {
    WakeAt(mDeadline);
    return;
  }
  Send(aContext,
       GenerateMode{ .mPrefix = mAnswer.mText, .mFromIndex = mNextIndex });
}

void
Execution::Send(StepContext& aContext, UpstreamMode aMode)
{
  mMayHaveRunBefore = mMayHaveRun;
  mMayHaveRun = true;
  mUpstreamCall = aContext.NewCall();
  aContext.mEffects.emplace_back(
    StartUpstreamEffect{ .mCall = mUpstreamCall,
                         .mAddress = mAttempt->mAddress,
                         .mKind = mAttempt->mKind,
                         .mRequest = UpstreamRequestName(),
                         .mAttempt = mAttempt->mNumber,
                         .mBody = mRecord.mTerms.mBody,
                         .mPriority = mRecord.mTerms.mPriority,
                         .mMode = std::move(aMode) });
  WakeAt(mDeadline);
}

void
Execution::OnUpstream(StepContext& aContext, const UpstreamEvent& aEvent)
{
  const LifeState state = mLife->State();
  const bool expected =
    aEvent.mCall == mUpstreamCall &&
    (state == LifeState::kDispatched || state == LifeState::kStreaming);
  if (!expected) {
    aContext.Count(Tally::kLatePieceDropped);
    return;
  }
  std::visit(
    Overloaded{
      [&](const UpstreamPiece& aPiece) { OnPiece(aContext, aPiece); },
      [&](const UpstreamDone& aDone) { OnDone(aContext, aDone); },
      [&](const UpstreamRefused& aRefused) { OnRefused(aContext, aRefused); },
      [&](const UpstreamBroken& aBroken) { OnBroken(aContext, aBroken); } },
    aEvent.mOutcome);
}

bool
Execution::Belongs(const std::string& aRequest, AttemptNumber aAttempt) const
{
  return aRequest == UpstreamRequestName() && aAttempt == mAttempt->mNumber;
}

void
Execution::OnPiece(StepContext& aContext, const UpstreamPiece& aPiece)
{
  if (!Belongs(aPiece.mRequest, aPiece.mAttempt)) {
    // Answers crossed inside the upstream. The piece is somebody else's and
    // this caller must never see it; the caller's own pieces go on.
    aContext.Count(Tally::kCrossedPieceDropped);
    return;
  }
  if (aPiece.mIndex < mNextIndex) {
    aContext.Count(Tally::kLatePieceDropped);
    return;
  }
  if (aPiece.mIndex > mNextIndex) {
    // A piece is missing (it went to somebody else, say): what follows would
    // leave a hole in the answer, so the stream is fetched again from here.
    StopUpstream(aContext, false);
    OnBroken(aContext, UpstreamBroken{ .mReason = "gap in the stream" });
    return;
  }
  if (!mAnswer.mLineage.IsSet()) {
    mAnswer.mLineage = mAttempt->mNumber;
  }
  mLife->Take(LifeEvent::kPiece);
  ++mNextIndex;
  mAttempt->mResumes = 0;
  mAnswer.mText += aPiece.mText;
}

void
Execution::OnDone(StepContext& aContext, const UpstreamDone& aDone)
{
  if (!Belongs(aDone.mRequest, aDone.mAttempt)) {
    aContext.Count(Tally::kCrossedPieceDropped);
    StopUpstream(aContext, false);
    OnBroken(aContext, UpstreamBroken{ .mReason = "crossed answer" });
    return;
  }
  const bool engine = mAttempt->mKind == routing::UpstreamKind::kModelEngine;
  if (engine && aDone.mTokens != mNextIndex) {
    StopUpstream(aContext, false);
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
  mLife->Take(LifeEvent::kComplete);
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
  aContext.mRouter.Ended(
    mAttempt->mUpstream, routing::AttemptEnd::kFailed, aContext.mNow);
  if (aRefused.mNoSuchStream && mAttempt->mResumes > 0) {
    RetryOrGiveUp(aContext, Tally::kRetryStreamGone);
    return;
  }
  if (aRefused.mDidNotRun) {
    mNotBefore = aContext.mNow + aRefused.mRetryAfter;
    mAvoid.push_back(mAttempt->mUpstream);
    RetryAfterNoRun(aContext, Tally::kRetryUpstreamRefused);
    return;
  }
  if (aRefused.mStatus >= kFirstServerError) {
    RetryOrGiveUp(aContext, Tally::kRetryUpstreamRefused);
    return;
  }
  // The upstream understood the request and will not do it: another try would
  // get the same answer.
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
    RetryAfterNoRun(aContext, why);
  } else {
    RetryOrGiveUp(aContext, why);
  }
}

bool
Execution::TryResumeSameStream(StepContext& aContext)
{
  // The connection may be dead while the engine still generates (something
  // between the two lost track of it): a new connection to the same stream
  // costs nothing, and is no second run.
  const bool engine = mAttempt->mKind == routing::UpstreamKind::kModelEngine;
  if (!engine || mAttempt->mResumes >= kMaxResumes) {
    return false;
  }
  Resume(aContext);
  return true;
}

void
Execution::RetryAfterNoRun(StepContext& aContext, Tally aWhy)
{
  mMayHaveRun = mMayHaveRunBefore;
  if (mRecord.mTerms.mIdempotent) {
    RetryLater(aContext, aWhy);
    return;
  }
  // Its committed intent still forbids a second one on every replica.
  mLife->Take(LifeEvent::kMustVoid);
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
  GiveUp(aContext, MakeLoss("upstream-lost"));
}

void
Execution::RetryLater(StepContext& aContext, Tally aWhy)
{
  const auto decision = aContext.mDesk.DecideRetry(
    mRecord.mKey.mCustomer,
    mRecord.mTerms.mService,
    routing::FailedTry{ .mTries = mAttempts,
                        .mDeadline = mDeadline,
                        .mRandom = aContext.mRandom() },
    aContext.mNow);
  if (const auto* never = std::get_if<routing::NoRetry>(&decision)) {
    GiveUpRetrying(aContext, *never);
    return;
  }
  if (!mLife->Take(LifeEvent::kRetry)) {
    return;
  }
  aContext.Count(aWhy);
  const Duration pause = std::get<routing::RetryAfterPause>(decision).mPause;
  mNotBefore = std::max(mNotBefore, aContext.mNow + pause);
  mQueuedSince = aContext.mNow;
  WakeAt(mNotBefore);
}

void
Execution::GiveUpRetrying(StepContext& aContext, routing::NoRetry aWhy)
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
  // Only a request that no upstream can have begun is said not to have run.
  return ledger::Outcome{ .mKind = MayHaveRun() ? ledger::OutcomeKind::kFailed
                                                : ledger::OutcomeKind::kRefused,
                          .mStatus = aStatus,
                          .mReason = std::move(aReason),
                          .mRetryAfter = aContext.mOptions.mRetryAfter };
}

ledger::Outcome
Execution::MakeLoss(std::string aReason) const
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
  if (mLife->State() == LifeState::kIntending) {
    // The intent may be committed already; its answer decides.
    return;
  }
  if (!MayHaveRun()) {
    aContext.Count(Tally::kRefusedDeadline);
    GiveUp(aContext, MakeRefusal(aContext, kStatusGatewayTimeout, "deadline"));
    return;
  }
  ledger::Outcome outcome = MakeLoss("deadline");
  outcome.mStatus = kStatusGatewayTimeout;
  GiveUp(aContext, std::move(outcome));
}

void
Execution::GiveUp(StepContext& aContext, ledger::Outcome aOutcome)
{
  if (!mLife->Take(LifeEvent::kGiveUp)) {
    return;
  }
  StopUpstream(aContext, true);
  mPendingOutcome = std::move(aOutcome);
  ProposeFinish(aContext);
}

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
  if (aCall != mProposal || EndsHere(aContext, aAnswer)) {
    return;
  }
  switch (mLife->State()) {
    case LifeState::kIntending:
      OnIntentAnswer(aContext, aAnswer);
      break;
    case LifeState::kVoiding:
      OnVoidAnswer(aContext, aAnswer);
      break;
    case LifeState::kFinishing:
      OnFinishAnswer(aContext, aAnswer);
      break;
    default:
      // The answer to an intent that was not waited for.
      break;
  }
}

bool
Execution::EndsHere(StepContext& aContext,
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
    GiveUp(aContext, MakeLoss("may-have-run"));
    return;
  }
  if (aAnswer.mVerdict != ledger::Verdict::kDone) {
    // Without an answer the intent may or may not stand; sending now could be
    // a second run after another executor's first.
    Propose(aContext,
            ledger::IntendOperation{
              .mExecutorTurn = mRecord.mExecutorTurn,
              .mIntent = { .mAttempt = mAttempt->mNumber,
                           .mUpstream = mAttempt->mUpstream,
                           .mIncarnation = mAttempt->mIncarnation,
                           .mFromIndex = mAttempt->mFromIndex } });
    return;
  }
  TakeIntent(aAnswer);
  if (aContext.mNow >= mDeadline) {
    RetryAfterNoRun(aContext, Tally::kRefusedDeadline);
    return;
  }
  mLife->Take(LifeEvent::kDispatch);
  Send(aContext,
       GenerateMode{ .mPrefix = mAnswer.mText, .mFromIndex = mNextIndex });
}

void
Execution::TakeIntent(const ledger::OperationAnswer& aAnswer)
{
  // The ledger leaves the terms out of its answers to what an executor, which
  // has them, proposes; only the intent is news.
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
  TakeIntent(aAnswer);
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
    mPendingOutcome = MakeLoss("may-have-run");
  }
  if (aContext.mNow > mDeadline + aContext.mOptions.mFinishGrace) {
    // The ledger can't be reached for good: the callers are told at least
    // that nothing sure is known.
    mAnswer.mOutcome = MakeLoss("ledger-lost");
    mLife->Take(LifeEvent::kFinishCommitted);
    return;
  }
  ProposeFinish(aContext);
}

void
Execution::Conclude(StepContext& aContext, const ledger::Outcome& aOutcome)
{
  mLife->Take(LifeEvent::kFinishCommitted);
  const Answer kept = AnswerOf(aOutcome, mRecord.mExecutor);
  if (kept.mLineage.IsSet()) {
    mAnswer = kept;
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
  StopUpstream(aContext, true);
  mLife->Take(LifeEvent::kGiveUp);
  Conclude(aContext, aOutcome);
}

void
Execution::OnTurnLost(StepContext& aContext)
{
  if (!mLife->Take(LifeEvent::kTurnLost)) {
    return;
  }
  mLostTurn = true;
  aContext.Count(Tally::kTurnLost);
  // The engine's stream belongs to the next executor now: only the connection
  // is closed, the stream is not cancelled.
  StopUpstream(aContext, false);
}

void
Execution::StopUpstream(StepContext& aContext, bool aTellUpstream)
{
  if (!mUpstreamCall.IsSet()) {
    return;
  }
  aContext.mEffects.emplace_back(DropUpstreamEffect{ mUpstreamCall });
  mUpstreamCall = CallId();
  if (aTellUpstream) {
    aContext.mRouter.Ended(
      mAttempt->mUpstream, routing::AttemptEnd::kCancelled, aContext.mNow);
    aContext.mEffects.emplace_back(CancelUpstreamEffect{ mAttempt->mAddress,
                                                         mAttempt->mKind,
                                                         UpstreamRequestName(),
                                                         mAttempt->mNumber });
  }
}

void
Execution::OnTick(StepContext& aContext)
{
  if (Ended() || aContext.mNow < mWake) {
    return;
  }
  mWake = TimePoint::max();
  const LifeState state = mLife->State();
  if (state == LifeState::kQueued) {
    TryDispatch(aContext);
    return;
  }
  const bool sent =
    state == LifeState::kDispatched || state == LifeState::kStreaming;
  if (sent && aContext.mNow >= mDeadline) {
    GiveUpOnDeadline(aContext);
  }
}

void
Execution::WakeAt(TimePoint aTime)
{
  mWake = std::min(aTime, mDeadline);
}

std::string
Execution::UpstreamRequestName() const
{
  return mRecord.mKey.mCustomer.Value() + "/" + mRecord.mKey.mKey;
}

} // namespace peridotspool::request
