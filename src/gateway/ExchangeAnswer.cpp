// What an upstream answers, and how it reaches the caller.

#include "gateway/Exchange.h"
#include "gateway/LifeProbe.h"

#include <algorithm>
#include <utility>

namespace peridotspool::gateway {

namespace {

using observe::CounterId;
using observe::EventId;

/** A whole answer larger than this is not held, and so fails. */
constexpr std::size_t kMostHeld = 8U << 20;
constexpr Duration kSlowCheck = std::chrono::milliseconds(5);
/** Bytes that may wait for a slow caller before its upstream has to. */
constexpr std::size_t kMostQueued = 256U << 10;

constexpr unsigned kMisdirected = 421;
constexpr unsigned kFirstServerError = 500;

bool
IsSuccess(unsigned aStatus)
{
  return aStatus >= 200 && aStatus < 300;
}

} // namespace

void
Exchange::TakeLoad()
{
  const std::string_view load = FieldOf(mHead.mFields, mCore.mNames.mLoad);
  const std::size_t first = load.find(',');
  const std::size_t second = load.find(',', first + 1);
  if (first == std::string_view::npos || second == std::string_view::npos) {
    return;
  }
  const auto running = ReadNumber(load.substr(0, first));
  const auto waiting = ReadNumber(load.substr(first + 1, second - first - 1));
  if (running && waiting) {
    mCore.mBoard.TakeLoad(mSent,
                          static_cast<std::uint32_t>(*running),
                          static_cast<std::uint32_t>(*waiting),
                          mCore.mNow());
  }
}

bool
Exchange::SaysNotRun() const
{
  return mHead.mStatus == kMisdirected ||
         !FieldOf(mHead.mFields, mCore.mNames.mNotRun).empty();
}

// Upstreams echo the request's id. An answer that comes late, on a connection
// that already carries the next request, is known by it; without this check
// one caller would get another one's answer.
bool
Exchange::OnHead(UpstreamHead aHead)
{
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
  TakeLoad();
  mIsStream = mRoute->mKind == RequestKind::kStreaming &&
              IsSuccess(mHead.mStatus) &&
              !FieldOf(mHead.mFields, mCore.mNames.mStamp).empty();
  return true;
}

void
Exchange::OnBody(std::string aBytes)
{
  if (!mIsStream) {
    mBody += aBytes;
    if (mBody.size() > kMostHeld) {
      mLink->Drop();
      ++mRuns;
      EndSend(SendResult::kAnswered);
      Follow(NextStep::kFail,
             "the answer is over its bound",
             CounterId::kRefusedBound);
    }
    return;
  }
  RelayEvents(mEvents.Take(aBytes));
}

void
Exchange::RelayEvents(std::string_view aEvents)
{
  if (aEvents.empty()) {
    return;
  }
  const TimePoint now = mCore.mNow();
  TellBegun();
  if (!mBegun) {
    mBegun = true;
    mFirstEventAt = now;
    CountUsage();
    mCore.mCounters.Histogram(observe::HistogramId::kFirstTokenTime)
      .Observe(now - mArrivedAt);
    mCaller->Begin(WriteAnswerHead(mHead, std::nullopt, KeepAlive()));
  } else {
    mCore.mCounters.Histogram(observe::HistogramId::kTokenGap)
      .Observe(now - mLastEventAt);
    mWorstGap = std::max(mWorstGap, Duration(now - mLastEventAt));
  }
  mLastEventAt = now;
  if (mPieces++ == 0) {
    mFirstPieceAt = now;
  }
  mCaller->Piece(aEvents);
  WaitForCaller();
}

// A caller that reads slowly must not fill this instance's memory: its upstream
// waits, and with it only this one request.
void
Exchange::WaitForCaller()
{
  if (mOver || !mLink) {
    return;
  }
  if (mCaller->QueuedBytes() <= kMostQueued) {
    mLink->Resume();
    return;
  }
  mLink->Pause();
  mSlowTimer.expires_after(kSlowCheck);
  mSlowTimer.async_wait([self = shared_from_this()](http::ErrorCode aError) {
    if (!aError) {
      self->WaitForCaller();
    }
  });
}

void
Exchange::OnEnd()
{
  if (SaysNotRun()) {
    ++mRefusals;
    EndSend(mHead.mStatus == kMisdirected ? SendResult::kOther
                                          : SendResult::kFull);
    Follow(AfterNotRun(Facts()),
           "upstreams refused",
           CounterId::kRetryUpstreamRefused);
    return;
  }
  ++mRuns;
  if (mIsStream) {
    FinishStream();
    return;
  }
  FinishWhole();
}

void
Exchange::FinishStream()
{
  NoteVersion(false);
  EndSend(SendResult::kAnswered);
  NoteAnswered();
  if (!mBegun) {
    mCaller->Begin(WriteAnswerHead(mHead, std::nullopt, KeepAlive()));
  }
  if (!mEvents.Rest().empty()) {
    mCaller->Piece(mEvents.Rest());
  }
  mCaller->Finish(KeepAlive());
  End(mHead.mStatus, "whole");
}

void
Exchange::FinishWhole()
{
  const bool stamped = !FieldOf(mHead.mFields, mCore.mNames.mStamp).empty();
  if (IsSuccess(mHead.mStatus) && !stamped) {
    EndSend(SendResult::kFailed);
    Follow(AfterLost(Facts()),
           "an answer without proof",
           CounterId::kRetryCrossedAnswer);
    return;
  }
  if (stamped) {
    CountUsage();
  }
  NoteAnswered();
  const bool failed = mHead.mStatus >= kFirstServerError;
  NoteVersion(failed);
  EndSend(failed ? SendResult::kFailed : SendResult::kAnswered);
  if (failed && AfterFailure(Facts()) == NextStep::kTryAnother &&
      mCore.mBudget.TakeRepeat(mService, mCore.mNow())) {
    mCore.mCounters.Add(mCore.mRollouts.IsRollingOut(mService, mVersion)
                          ? CounterId::kRetryNewVersion
                          : CounterId::kRetryUpstreamRefused);
    Dispatch();
    return;
  }
  if (mBegun) {
    BreakOff("the upstream failed to go on");
    return;
  }
  std::string answer =
    WriteAnswerHead(mHead, mBody.size(), KeepAlive()) + mBody;
  mCaller->Answer(std::move(answer), KeepAlive());
  End(mHead.mStatus, "whole");
}

// What ended may be the connection, or the upstream. One that said that it
// leaves may end at any time and loses nothing by what it ran.
void
Exchange::WitnessBreak(const LinkFailure& aFailure)
{
  const routing::UpstreamLife life{ .mName = mUpstream,
                                    .mIncarnation = mSent.mIncarnation };
  if (aFailure.mRefused) {
    mCore.NoteRefused(life);
    return;
  }
  if (!aFailure.mMayHaveBeenSent || !mCore.mBoard.IsReady(mUpstream)) {
    return;
  }
  const auto ended = mCore.mWitness.Lost(life,
                                         mUpstreamAddress,
                                         { .mContent = mContent,
                                           .mSentAt = mSent.mSentAt,
                                           .mLostAt = mCore.mNow(),
                                           .mHadTurn = mTurn != 0 });
  mCore.mGate.Lost(std::exchange(mTurn, 0), mCore.mNow());
  if (ended) {
    mCore.NoteEnded(*ended);
  } else if (mCore.mWitness.ShouldProbe(life)) {
    ProbeLife(mCore, life, mUpstreamAddress);
  }
}

void
Exchange::OnBroken(const LinkFailure& aFailure)
{
  WitnessBreak(aFailure);
  EndSend(SendResult::kBroken);
  mCore.mLogger.Log(EventId::kRequestRetried,
                    { { "request", mId },
                      { "content", ToText(mContent) },
                      { "upstream", mUpstream },
                      { "cause", aFailure.mReason },
                      { "may_have_run", aFailure.mMayHaveBeenSent },
                      { "reused", aFailure.mReused },
                      { "begun", mBegun } });
  if (!aFailure.mMayHaveBeenSent) {
    ++mRefusals;
    Follow(AfterNotRun(Facts()),
           "upstreams can't be reached",
           CounterId::kRetryConnectionBroken);
    return;
  }
  ++mRuns;
  Follow(AfterLost(Facts()),
         "the upstream's answer was lost",
         CounterId::kRetryConnectionBroken);
}
} // namespace peridotspool::gateway
