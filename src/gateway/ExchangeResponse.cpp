// Handling of an upstream's response and its relay to the caller.

#include "gateway/Exchange.h"
#include "peridotspool/gateway/InstanceLoad.h"

#include <boost/describe/enum_to_string.hpp>

#include <algorithm>
#include <utility>

namespace peridotspool::gateway {

namespace {

using observe::CounterId;
using observe::EventId;

constexpr Duration kSlowCallerCheckPeriod = std::chrono::milliseconds(5);
/** Bytes that may be queued for a slow caller before reading from its upstream
 * is paused. */
constexpr std::size_t kMaxQueuedBytes = 256U << 10;

constexpr unsigned kMisdirected = 421;
constexpr unsigned kFirstServerError = 500;
constexpr unsigned kUnavailable = 503;

bool
IsSuccess(unsigned aStatus)
{
  return aStatus >= 200 && aStatus < 300;
}

/** Returns true iff a response on a route of streams consists of events. */
bool
HasEvents(const FieldList& aFields)
{
  constexpr std::string_view kEventStream = "text/event-stream";
  const std::string_view type = FieldOf(aFields, "content-type");
  return type.empty() ||
         EqualsIgnoreCase(type.substr(0, kEventStream.size()), kEventStream);
}

} // namespace

void
Exchange::RecordLoad()
{
  const auto load =
    ParseInstanceLoad(FieldOf(mHead.mFields, mCore.mNames.mLoad));
  if (load) {
    mCore.mSelector.ApplyLoadReport(mSent, *load, mCore.mNow());
  }
}

bool
Exchange::IsNotRun() const
{
  return mHead.mStatus == kMisdirected ||
         !FieldOf(mHead.mFields, mCore.mNames.mNotRun).empty();
}

// Upstreams echo the request's id, which identifies a late response on a
// connection that already carries the next request. Without this check one
// caller would get another caller's response.
bool
Exchange::OnHead(ResponseHead aHead)
{
  RecordWithdrawal(aHead);
  const std::string_view echoed =
    FieldOf(aHead.mFields, mCore.mNames.mRequestId);
  if (echoed != mId && !(echoed.empty() && mId.empty())) {
    mCore.mCounters.Add(CounterId::kCrossedPieceDropped);
    mCore.mLogger.Log(EventId::kCrossedPieceDropped,
                      { { "request", mId },
                        { "upstream", mUpstream },
                        { "answer_of", std::string(echoed) } });
    return false;
  }
  mHead = std::move(aHead);
  if (mHead.mStatus != kUnavailable) {
    mCore.mSelector.RecordAccepted(mSent);
  }
  RecordLoad();
  RecordStatedLimit();
  RecordBrittleness();
  mIsStream = mRoute->mKind == RequestKind::kStreaming &&
              IsSuccess(mHead.mStatus) && HasEvents(mHead.mFields) &&
              !FieldOf(mHead.mFields, mCore.mNames.mStamp).empty();
  CheckAnnouncedLength();
  return true;
}

void
Exchange::OnBody(std::string aBytes)
{
  if (!mIsStream) {
    const auto broken = mGuard.CheckBody(mBody.size() + aBytes.size());
    if (broken) {
      ApplyBound(broken);
    } else {
      mBody += aBytes;
    }
    return;
  }
  CountUsage();
  const std::string events = mEvents.Append(aBytes);
  RelayEvents(events);
  if (!mEnded) {
    ApplyBound(mGuard.CheckEvent(mEvents.Incomplete().size(), !events.empty()));
  }
}

void
Exchange::BeginStream()
{
  const BodyFraming framing = mRequest.mStreamFraming;
  mCaller->BeginStream(WriteResponseHead(mHead, framing, 0, KeepAlive()),
                       framing);
}

void
Exchange::RelayEvents(std::string_view aEvents)
{
  if (aEvents.empty()) {
    return;
  }
  ReportPrefillDone();
  if (mOrigin && mEventBatches == 0 && IsVersionUncertain()) {
    DropUncertainEvents();
    return;
  }
  if (HoldFirstEvents(aEvents)) {
    // Read on once the events are released.
    if (mHeldEvents.size() > kMaxQueuedBytes) {
      mConnection->Pause();
    }
    return;
  }
  const TimePoint now = mCore.mNow();
  if (!mBegun) {
    mBegun = true;
    mFirstEventAt = now;
    mCore.mCounters.Histogram(observe::HistogramId::kFirstTokenTime)
      .Observe(now - mArrivedAt);
    BeginStream();
  } else {
    mCore.mCounters.Histogram(observe::HistogramId::kTokenGap)
      .Observe(now - mLastEventAt);
    mMaxGap = std::max(mMaxGap, Duration(now - mLastEventAt));
  }
  mLastEventAt = now;
  if (mEventBatches++ == 0) {
    mFirstBatchAt = now;
  }
  mCaller->SendPart(aEvents);
  ApplyBackpressure();
}

// A caller that reads slowly must not fill this instance's memory. Reading from
// its upstream is paused, which delays no other request.
void
Exchange::ApplyBackpressure()
{
  if (mEnded || !mConnection) {
    return;
  }
  if (mCaller->QueuedBytes() <= kMaxQueuedBytes) {
    mConnection->Resume();
    return;
  }
  mConnection->Pause();
  mWaitTimer.expires_after(kSlowCallerCheckPeriod);
  mWaitTimer.async_wait([self = shared_from_this()](http::ErrorCode aError) {
    if (!aError) {
      self->ApplyBackpressure();
    }
  });
}

void
Exchange::OnEnd()
{
  if (IsNotRun()) {
    ++mRefusals;
    ReleasePermit();
    EndAttempt(mHead.mStatus == kMisdirected ? SendResult::kWrongUpstream
                                             : SendResult::kFull);
    ApplyNextStep(AfterNotExecuted(CurrentState()),
                  "upstreams refused",
                  CounterId::kRetryUpstreamRefused);
    return;
  }
  ObserveEnd();
  if (!mIsStream) {
    ++mRuns;
    FinishBuffered();
    return;
  }
  if (mOriginState == OriginState::kReplicating) {
    mHeldEnd = true;
    return;
  }
  const StreamEnd end =
    JudgeStreamEnd({ .mFraming = mHead.mFraming,
                     .mHasEvent = mEvents.HasEvent(),
                     .mInsideEvent = mEvents.IsInsideEvent() });
  if (end == StreamEnd::kComplete) {
    ++mRuns;
    FinishStream();
  } else {
    OnStreamBrokenOff(end);
  }
}

void
Exchange::OnStreamBrokenOff(StreamEnd aEnd)
{
  mCore.mCounters.Add(CounterId::kStreamBrokenOff);
  mConnection->Drop();
  if (mBegun && aEnd == StreamEnd::kNoEvent) {
    // The upstream may have had nothing left to send, so the end isn't held
    // against it.
    ++mRuns;
    EndAttempt(SendResult::kAnswered);
    AbortResponse("the resumed stream ended without an event");
    return;
  }
  OnConnectionFailed({ .mReason = aEnd == StreamEnd::kInsideEvent
                                    ? "the stream ended inside an event"
                                    : "the stream ended without an event" });
}

void
Exchange::FinishStream()
{
  RecordVersionAnswer(false);
  EndAttempt(SendResult::kAnswered);
  RecordCompletion();
  if (!mBegun) {
    BeginStream();
  }
  if (!mEvents.Incomplete().empty()) {
    mCaller->SendPart(mEvents.Incomplete());
  }
  mCaller->FinishStream(KeepAlive());
  End(mHead.mStatus, "whole");
}

void
Exchange::FinishBuffered()
{
  const bool stamped = !FieldOf(mHead.mFields, mCore.mNames.mStamp).empty();
  if (IsSuccess(mHead.mStatus) && !stamped) {
    EndAttempt(SendResult::kFailed);
    ApplyNextStep(AfterLostResponse(CurrentState()),
                  "an answer without proof",
                  CounterId::kRetryCrossedAnswer);
    return;
  }
  if (stamped) {
    CountUsage();
  }
  if (IsSuccess(mHead.mStatus)) {
    RecordCompletion();
  } else {
    RecordAnswered(routing::AnswerEvidence::kUpstreamAlive);
  }
  const bool failed = mHead.mStatus >= kFirstServerError;
  RecordVersionAnswer(failed);
  EndAttempt(AsksForRest() ? SendResult::kFull
             : failed      ? SendResult::kFailed
                           : SendResult::kAnswered);
  if (failed &&
      AfterUpstreamError(CurrentState()) == NextStep::kRetryElsewhere &&
      mCore.mRetryBudget.TryAcquireRetry(mService, mCore.mNow())) {
    mCore.mCounters.Add(mCore.mRollouts.IsRollingOut(mService, mVersion)
                          ? CounterId::kRetryNewVersion
                          : CounterId::kRetryUpstreamRefused);
    Dispatch();
    return;
  }
  if (mBegun) {
    AbortResponse("the upstream failed to go on");
    return;
  }
  std::string answer =
    WriteResponseHead(mHead, BodyFraming::kLength, mBody.size(), KeepAlive());
  answer.append(std::exchange(mBody, {}));
  mCaller->SendResponse(std::move(answer), KeepAlive());
  End(mHead.mStatus, "whole");
}

const char*
Exchange::FramingText() const
{
  return mHead.mStatus == 0
           ? "none"
           : boost::describe::enum_to_string(mHead.mFraming, "");
}

void
Exchange::LogConnectionFailure(const ConnectionFailure& aFailure)
{
  const routing::UpstreamPathFacts path =
    mCore.mUpstreamPath.Facts(mCore.mNow());
  constexpr Duration kNever = std::chrono::milliseconds(-1);
  mCore.mLogger.Log(
    EventId::kRequestRetried,
    { { "request", mId },
      { "content", ToText(mGateRequest.mContent) },
      { "upstream", mUpstream },
      { "cause", aFailure.mReason },
      { "may_have_run", aFailure.mMayHaveBeenSent },
      { "reused", aFailure.mReused },
      { "begun", mBegun },
      { "framing", FramingText() },
      { "unfinished_bytes", mEvents.Incomplete().size() },
      { "last_connected_ms", path.mSinceConnected.value_or(kNever) },
      { "last_received_ms", path.mSinceReceived.value_or(kNever) },
      { "unreachable", path.mFailedUpstreams } });
}

void
Exchange::OnConnectionFailed(const ConnectionFailure& aFailure)
{
  ReleaseFirstEvents();
  if (mEnded) {
    return;
  }
  if (aFailure.mCancelled) {
    OnSendCancelled();
    return;
  }
  RecordConnectionLoss(aFailure);
  EndAttempt(aFailure.mPathLost ? SendResult::kPathLost : SendResult::kBroken);
  LogConnectionFailure(aFailure);
  if (!aFailure.mMayHaveBeenSent) {
    ++mRefusals;
    ApplyNextStep(AfterNotExecuted(CurrentState()),
                  "upstreams can't be reached",
                  CounterId::kRetryConnectionBroken);
    return;
  }
  ++mRuns;
  ApplyNextStep(AfterLostResponse(CurrentState()),
                "the upstream's answer was lost",
                CounterId::kRetryConnectionBroken);
}

} // namespace peridotspool::gateway
