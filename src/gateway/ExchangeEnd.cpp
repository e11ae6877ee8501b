// How a request ends, or goes on at another upstream.

#include "gateway/Exchange.h"

#include <boost/describe/enum_to_string.hpp>

#include <algorithm>
#include <utility>

namespace peridotspool::gateway {

namespace {

using observe::CounterId;
using observe::EventId;

constexpr double kComeBackSoon = 0.3;
constexpr unsigned kFirstRefusal = 300;
constexpr unsigned kBadGateway = 502;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kGatewayTimeout = 504;

} // namespace

void
Exchange::TryAnother(CounterId aRetry)
{
  // What never reached an upstream is no repeat for it.
  const bool free = mRuns == 0 && aRetry == CounterId::kRetryConnectionBroken;
  if (free || mCore.mBudget.TakeRepeat(mService, mCore.mNow())) {
    mCore.mCounters.Add(aRetry);
    Dispatch();
  } else if (mBegun) {
    BreakOff("repeats are spent");
  } else if (mRuns > 0) {
    AnswerOwn(kBadGateway, "repeats are spent");
  } else {
    mCore.mCounters.Add(CounterId::kRefusedRetryBudget);
    AnswerOwn(kUnavailable, "repeats are spent", kComeBackSoon);
  }
}

void
Exchange::Follow(NextStep aStep, const char* aReason, CounterId aRetry)
{
  switch (aStep) {
    case NextStep::kTryAnother:
      TryAnother(aRetry);
      return;
    case NextStep::kRefuse:
      mCore.mCounters.Add(CounterId::kRefusedRetriesSpent);
      AnswerOwn(kUnavailable, aReason, kComeBackSoon);
      return;
    case NextStep::kFail:
    case NextStep::kPassOn:
      AnswerOwn(kBadGateway, aReason);
      return;
    case NextStep::kBreakOff:
      BreakOff(aReason);
      return;
  }
}

void
Exchange::OnTimeout()
{
  if (mLink) {
    NoteOverlong();
    mLink->Drop();
    mLink.reset();
    ++mRuns;
    TellEnded(SendResult::kFailed);
  }
  if (mBegun) {
    BreakOff("out of time");
  } else if (mRuns > 0) {
    AnswerOwn(kGatewayTimeout, "out of time");
  } else {
    mCore.mCounters.Add(CounterId::kRefusedDeadline);
    AnswerOwn(kUnavailable, "out of time", kComeBackSoon);
  }
}

void
Exchange::Cancel()
{
  if (mOver) {
    return;
  }
  if (mLink) {
    NoteOverlong();
    mLink->Drop();
    mLink.reset();
    TellEnded(SendResult::kAnswered);
  }
  mCore.mCounters.Add(CounterId::kCancelled);
  End(0, "the caller left");
}

bool
Exchange::KeepAlive() const
{
  return mRequest.mKeepAlive && !mCore.mStopping;
}

void
Exchange::AnswerOwn(unsigned aStatus, const char* aReason, double aRetryAfter)
{
  mCaller->Answer(
    WriteOwnAnswer(
      { .mStatus = aStatus, .mReason = aReason, .mRetryAfter = aRetryAfter },
      mCore.mNames.mRequestId,
      mId,
      KeepAlive()),
    KeepAlive());
  mCore.mCounters.Add(CounterId::kFailed);
  End(aStatus, aReason);
}

void
Exchange::BreakOff(const char* aReason)
{
  mCaller->Abort();
  mCore.mCounters.Add(CounterId::kUnknownOutcome);
  End(0, aReason);
}

void
Exchange::End(unsigned aStatus, const char* aReason)
{
  if (mQuotaTag != 0) {
    mCore.mQuota.Forget(mQuotaTag);
    mCore.mWaiting.erase(mQuotaTag);
    mQuotaTag = 0;
  }
  if (mGranted && mRuns == 0) {
    GiveBack(mReceipt);
  }
  LeaveGate();
  mOver = true;
  mWaitsForStart = false;
  mTimer.cancel();
  mSlowTimer.cancel();
  CancelLoadQuery();
  const Duration took = mCore.mNow() - mArrivedAt;
  if (aStatus >= 200 && aStatus < kFirstRefusal) {
    mCore.mCounters.Add(CounterId::kAnswered);
    mCore.mCounters.Histogram(observe::HistogramId::kAnswerTime).Observe(took);
  }
  mCore.mLogger.Log(
    EventId::kRequestEnded,
    { { "request", mId },
      { "content", ToText(mContent) },
      { "route", mRoute == nullptr ? "none" : mRoute->mName },
      { "customer", mCustomer == nullptr ? "none" : mCustomer->mName.Value() },
      { "units", mCustomer == nullptr ? 0.0 : Units() },
      { "granted_by", boost::describe::enum_to_string(mReceipt.mSource, "") },
      { "status", aStatus },
      { "reason", aReason },
      { "upstream", mUpstream },
      { "runs", mRuns },
      { "refusals", mRefusals },
      { "begun", mBegun },
      { "first_ms",
        mBegun ? Duration(mFirstEventAt - mArrivedAt) : Duration(0) },
      { "worst_gap_ms", mWorstGap },
      { "took_ms", took } });
  if (auto call = std::exchange(mOnOver, {})) {
    call();
  }
}

} // namespace peridotspool::gateway
