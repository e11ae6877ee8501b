#include "request/Execution.h"

#include "request/ExecutionStateMachine.h"
#include "request/PromptBlocks.h"

#include <algorithm>
#include <utility>

namespace peridotspool::request {

namespace {

/** Size of the range of attempt numbers of one executor turn; the numbers of
 * different turns never overlap. */
constexpr std::uint64_t kMaxAttemptsPerTurn = 1000;
/** Interval at which a queued request tries to choose an upstream again. */
constexpr Duration kQueuePollInterval = std::chrono::milliseconds(25);

constexpr std::int32_t kStatusUnavailable = 503;

AttemptNumber
MakeAttemptNumber(AttemptNumber aTurn, std::uint32_t aTry)
{
  const std::uint64_t turn = aTurn.IsSet() ? aTurn.Value() - 1 : 0;
  return AttemptNumber(turn * kMaxAttemptsPerTurn + aTry);
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
    case routing::NoRoute::kAllResting:
      return Tally::kRefusedResting;
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
    case routing::NoRoute::kAllResting:
      return "upstreams-rest";
  }
  return "no-upstream";
}

} // namespace

Execution::Execution(const ledger::RequestRecord& aRecord, TimePoint aDeadline)
  : mRecord(aRecord)
  , mDeadline(aDeadline)
  , mStateMachine(std::make_unique<ExecutionStateMachine>())
{
  mAnswer.mExecutor = aRecord.mExecutor;
}

Execution::~Execution() = default;

bool
Execution::Ended() const
{
  return mStateMachine->State() == ExecutionState::kEnded;
}

bool
Execution::CanHandOver() const
{
  const ExecutionState state = mStateMachine->State();
  const bool sent =
    state == ExecutionState::kDispatched || state == ExecutionState::kStreaming;
  return sent && mAttempt && mAttempt->mFromIndex == 0 &&
         mAttempt->mKind == routing::UpstreamKind::kModelEngine;
}

void
Execution::Start(StepContext& aContext, ExecutionOrigin aWhy)
{
  mAdmitted = true;
  mQueuedSince = aContext.mNow;
  mNotBefore = aContext.mNow;
  mPromptBlocks = PromptBlocks(mRecord.mTerms.mBody);
  mAfterTakeover = aWhy == ExecutionOrigin::kTakenOver;
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
                        .mKind = upstream->mKind,
                        .mVersion = upstream->mVersion };
    mStateMachine->Apply(ExecutionEvent::kDispatch);
    Resume(aContext);
    return true;
  }
  if (!mRecord.mTerms.mIdempotent) {
    // The previous executor may have sent the request, and its upstream can't
    // be queried for the result; sending it again could run it twice.
    GiveUp(aContext, MakeLostOutcome("executor-lost"));
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
  if (mNextIndex > 0) {
    query.mVersion = mTextVersion;
  }
  const auto* rules =
    aContext.mAdmission.Rules(mRecord.mKey.mCustomer, mRecord.mTerms.mService);
  if (rules != nullptr) {
    query.mFirstTokenTarget = rules->mFirstTokenTarget;
    aContext.mRouter.SetWeights(rules->mLatencyWeight, rules->mCostWeight);
  }
  return query;
}

void
Execution::OnNoRoute(StepContext& aContext, routing::NoRoute aWhy)
{
  // No upstream could be chosen, so those that failed this request before
  // may be chosen again.
  mAvoid.clear();
  const TimePoint giveUpAt = mQueuedSince + aContext.mOptions.mMaxQueueWait;
  if (aWhy == routing::NoRoute::kAllResting && !MayHaveRun()) {
    RefuseForRest(aContext);
    return;
  }
  const bool cannotSucceed = aWhy == routing::NoRoute::kDeadlineTooNear ||
                             aWhy == routing::NoRoute::kQueueFull;
  if (!cannotSucceed && aContext.mNow < giveUpAt) {
    WakeAt(std::min(aContext.mNow + kQueuePollInterval, giveUpAt));
    return;
  }
  if (mNextIndex > 0 && !cannotSucceed) {
    RestartText();
    mQueuedSince = aContext.mNow;
    WakeAt(aContext.mNow);
    return;
  }
  aContext.Count(TallyOf(aWhy));
  GiveUp(aContext, MakeRefusal(aContext, kStatusUnavailable, ReasonOf(aWhy)));
}

// Returns are spread over the rest, so that the refused requests don't all come
// back at the same time.
void
Execution::RefuseForRest(StepContext& aContext)
{
  const TimePoint now = aContext.mNow;
  const Duration left =
    aContext.mRouter.AllRestUntil(MakeQuery(aContext), now).value_or(now) - now;
  const auto range = static_cast<std::uint64_t>(left.count()) + 1;
  const Duration spread(static_cast<Duration::rep>(aContext.mRandom() % range));
  aContext.Count(Tally::kRefusedResting);
  ledger::Outcome outcome =
    MakeRefusal(aContext, kStatusUnavailable, "upstreams-rest");
  outcome.mRetryAfter = left + spread;
  GiveUp(aContext, std::move(outcome));
}

// Without an upstream of the version that began the text, another one generates
// it anew; callers are told to drop what they have.
void
Execution::RestartText()
{
  mAnswer.mText.clear();
  mAnswer.mLineage = AttemptNumber();
  mNextIndex = 0;
}

void
Execution::BeginAttempt(StepContext& aContext,
                        const routing::RouteChoice& aChoice)
{
  if (mAttempts == 0) {
    aContext.mAdmission.CountFirstAttempt(mRecord.mTerms.mService);
  }
  ++mAttempts;
  mAttempt =
    Attempt{ .mNumber = MakeAttemptNumber(mRecord.mExecutorTurn, mAttempts),
             .mUpstream = aChoice.mUpstream,
             .mIncarnation = aChoice.mIncarnation,
             .mAddress = aChoice.mAddress,
             .mKind = aChoice.mKind,
             .mVersion = aChoice.mVersion,
             .mFromIndex = mNextIndex };
  aContext.mEffects.emplace_back(
    ExplainEffect{ mRecord.mKey, mAttempt->mNumber, aChoice });
  // An idempotent request is sent while its intent is being committed: losing
  // the intent costs a recomputation, but waiting for it would delay every
  // first token by a round trip. Any other request is sent only after the
  // commit.
  const bool once = !mRecord.mTerms.mIdempotent;
  mStateMachine->Apply(once ? ExecutionEvent::kIntend
                            : ExecutionEvent::kDispatch);
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
Execution::OnTick(StepContext& aContext)
{
  if (Ended() || aContext.mNow < mWake) {
    return;
  }
  mWake = TimePoint::max();
  const ExecutionState state = mStateMachine->State();
  if (state == ExecutionState::kQueued) {
    TryDispatch(aContext);
    return;
  }
  const bool sent =
    state == ExecutionState::kDispatched || state == ExecutionState::kStreaming;
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
