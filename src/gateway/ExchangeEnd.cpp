// End of a request, or its retry at another upstream.

#include "gateway/Exchange.h"

#include <boost/describe/enum_to_string.hpp>

#include <algorithm>
#include <utility>

namespace peridotspool::gateway {

namespace {

using observe::CounterId;
using observe::EventId;

constexpr double kShortRetryAfterSeconds = 0.3;
constexpr unsigned kFirstRefusal = 300;
constexpr unsigned kBadGateway = 502;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kGatewayTimeout = 504;

} // namespace

void
Exchange::RetryElsewhere(CounterId aRetry)
{
  // A send that never reached an upstream is not charged to the retry budget.
  const bool free = mRuns == 0 && aRetry == CounterId::kRetryConnectionBroken;
  if (free || mCore.mRetryBudget.TryAcquireRetry(mService, mCore.mNow())) {
    mCore.mCounters.Add(aRetry);
    Dispatch();
  } else if (mBegun) {
    AbortResponse("repeats are spent");
  } else if (mRuns > 0) {
    SendLocalResponse(kBadGateway, "repeats are spent");
  } else {
    mCore.mCounters.Add(CounterId::kRefusedRetryBudget);
    SendLocalResponse(kUnavailable,
                      "repeats are spent",
                      RefusalRetryAfter(kShortRetryAfterSeconds));
  }
}

void
Exchange::ApplyNextStep(NextStep aStep, const char* aReason, CounterId aRetry)
{
  switch (aStep) {
    case NextStep::kRetryElsewhere:
      RetryElsewhere(aRetry);
      return;
    case NextStep::kRefuse:
      mCore.mCounters.Add(CounterId::kRefusedRetriesSpent);
      SendLocalResponse(
        kUnavailable, aReason, RefusalRetryAfter(kShortRetryAfterSeconds));
      return;
    case NextStep::kFail:
    case NextStep::kForward:
      SendLocalResponse(kBadGateway, aReason);
      return;
    case NextStep::kAbort:
      AbortResponse(aReason);
      return;
  }
}

bool
Exchange::IsPathLost() const
{
  return mConnection && mConnection->ActiveAt() &&
         (!mCore.IsUsable(*mConnection) || IsRelaySilent());
}

bool
Exchange::IsRelaySilent() const
{
  return mConnection && mConnection->IsRelaySilent(mCore.mNow());
}

// A request that may not run again keeps its connection: its response comes if
// the path is restored in time.
void
Exchange::FailIfStalled(bool aAreOwnSilent)
{
  const bool isStalled = aAreOwnSilent ? IsPathLost() : IsRelaySilent();
  if (mEnded || !isStalled) {
    return;
  }
  AttemptState state = CurrentState();
  ++state.mRuns;
  if (AfterLostResponse(state) == NextStep::kRetryElsewhere) {
    mConnection->FailForLostPath();
  }
}

void
Exchange::OnTimeout()
{
  if (mConnection) {
    const bool isPathLost = IsPathLost();
    if (!isPathLost) {
      RecordOverdueAnswer();
    }
    mConnection->Drop();
    mConnection.reset();
    ++mRuns;
    TellEnded(isPathLost ? SendResult::kPathLost : SendResult::kFailed);
  }
  if (mBegun) {
    AbortResponse("out of time");
  } else if (mRuns > 0) {
    SendLocalResponse(kGatewayTimeout, "out of time");
  } else {
    mCore.mCounters.Add(CounterId::kRefusedDeadline);
    SendLocalResponse(kUnavailable, "out of time", kShortRetryAfterSeconds);
  }
}

// Sent later it might not end before the process does.
void
Exchange::RefuseIfUnsent()
{
  if (!mEnded && !mBegun && !mConnection && mRuns == 0) {
    RefuseAsStopping();
  }
}

void
Exchange::EndWithProcess()
{
  if (mEnded || mBegun) {
    return;
  }
  if (mConnection) {
    mConnection->Drop();
    mConnection.reset();
    ++mRuns;
    TellEnded(SendResult::kAnswered);
  }
  if (mRuns > 0) {
    SendLocalResponse(kBadGateway, "stopping");
  } else {
    RefuseAsStopping();
  }
}

void
Exchange::Cancel()
{
  if (mEnded) {
    return;
  }
  if (mConnection) {
    if (!IsPathLost()) {
      RecordOverdueAnswer();
    }
    mConnection->Drop();
    mConnection.reset();
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
Exchange::SendLocalResponse(unsigned aStatus,
                            const char* aReason,
                            double aRetryAfter)
{
  mCaller->SendResponse(
    WriteLocalResponse(
      { .mStatus = aStatus, .mReason = aReason, .mRetryAfter = aRetryAfter },
      mCore.mNames.mRequestId,
      mId,
      KeepAlive()),
    KeepAlive());
  mCore.mCounters.Add(CounterId::kFailed);
  End(aStatus, aReason);
}

void
Exchange::AbortResponse(const char* aReason)
{
  mCaller->Abort();
  mCore.mCounters.Add(CounterId::kUnknownOutcome);
  End(0, aReason);
}

void
Exchange::End(unsigned aStatus, const char* aReason)
{
  CancelQuota();
  RecordPlainCallTime(aStatus);
  if (mQuotaGranted && mRuns == 0) {
    ReturnQuota(mReceipt);
  }
  LeaveQuarantineGate();
  ReleaseHeldBytes();
  mEnded = true;
  mWaitingForStartup = false;
  mDeadlineTimer.cancel();
  mWaitTimer.cancel();
  CancelLoadQuery();
  CancelPermit();
  CancelSlot();
  CancelOriginCall();
  const Duration took = mCore.mNow() - mArrivedAt;
  if (aStatus >= 200 && aStatus < kFirstRefusal) {
    mCore.mCounters.Add(CounterId::kAnswered);
    mCore.mCounters.Histogram(observe::HistogramId::kAnswerTime).Observe(took);
  }
  mCore.mLogger.Log(
    EventId::kRequestEnded,
    { { "request", mId },
      { "content", ToText(mGateRequest.mContent) },
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
      { "framing", FramingText() },
      { "unfinished_bytes", mEvents.Incomplete().size() },
      { "first_ms",
        mBegun ? Duration(mFirstEventAt - mArrivedAt) : Duration(0) },
      { "origin_ms", mOriginTook },
      { "worst_gap_ms", mMaxGap },
      { "took_ms", took } });
  if (auto call = std::exchange(mOnEnded, {})) {
    call();
  }
}

} // namespace peridotspool::gateway
