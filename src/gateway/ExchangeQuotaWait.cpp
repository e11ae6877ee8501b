// A request's wait for its customer's limit.

#include "gateway/Exchange.h"
#include "peridotspool/gateway/TokenCounts.h"
#include "peridotspool/limits/QuotaWaitBudget.h"

#include <boost/describe/enum_to_string.hpp>

namespace peridotspool::gateway {

namespace {

using observe::CounterId;

CounterId
CounterOf(const DeferredQuotaDecision& aDecided)
{
  switch (aDecided.mEnd) {
    case limits::QuotaWaitEnd::kFallback:
      return CounterId::kLimitWaitFallback;
    case limits::QuotaWaitEnd::kLatestStart:
      return CounterId::kLimitWaitExpired;
    case limits::QuotaWaitEnd::kStopping:
      return CounterId::kLimitWaitStopping;
    case limits::QuotaWaitEnd::kLeader:
      break;
  }
  return aDecided.mGranted ? CounterId::kLimitWaitGranted
                           : CounterId::kLimitWaitRefused;
}

} // namespace

/** Returns how long the request is expected to take once it is sent. */
std::optional<Duration>
Exchange::ExpectedTime() const
{
  if (mRoute->mKind != RequestKind::kStreaming) {
    return mCore.mPlainCallTimes.Usual(mService);
  }
  const auto counts =
    ParseTokenCounts(FieldOf(mRequest.mFields, mCore.mNames.mTokenCounts));
  return mCore.mSelector.UncachedFirstEventTime(
    mService, counts ? counts->mPrompt : mSelectionQuery.mPrompt.Tokens());
}

std::optional<limits::QuotaWait>
Exchange::WaitForQuota()
{
  if (mCore.mScheduling.mMaxQuotaWait <= Duration(0) ||
      mCustomer->mRatePerSecond <= 0.0) {
    return std::nullopt;
  }
  limits::QuotaWait wait{ .mPriority =
                            mCustomer->mPriority.value_or(mRoute->mPriority),
                          .mMaxWaitMs = limits::MaxQuotaWaitMs(
                            { .mMaxWait = mCore.mScheduling.mMaxQuotaWait,
                              .mObjective = mRoute->mTargetLatency,
                              .mElapsed = mQuotaRequestedAt - mArrivedAt,
                              .mTimeLeft = mDeadline - mQuotaRequestedAt,
                              .mExpectedTime = ExpectedTime() }) };
  if (wait.mMaxWaitMs == 0 || mCore.mRefusing) {
    wait.mMaxWaitMs = 0;
    return wait;
  }
  if (mCore.mQuotaWaitRoom.TryEnter(mRequest.mBody.size())) {
    mInQuotaWaitRoom = true;
  } else {
    wait.mMaxWaitMs = 0;
    mCore.mCounters.Add(CounterId::kLimitWaitNoRoom);
  }
  return wait;
}

void
Exchange::LeaveQuotaWait()
{
  if (mInQuotaWaitRoom) {
    mInQuotaWaitRoom = false;
    mCore.mQuotaWaitRoom.Leave(mRequest.mBody.size());
  }
}

void
Exchange::RecordQuotaWait(const DeferredQuotaDecision& aDecided)
{
  const bool mayWait = mInQuotaWaitRoom;
  LeaveQuotaWait();
  const bool isFromLeader = aDecided.mEnd == limits::QuotaWaitEnd::kLeader;
  if (!mayWait || (isFromLeader && !aDecided.mExpectedWait)) {
    return;
  }
  mCore.mCounters.Add(CounterOf(aDecided));
  if (aDecided.mGranted) {
    mCore.mCounters.Histogram(observe::HistogramId::kLimitWaitTime)
      .Observe(mCore.mNow() - mQuotaRequestedAt);
  }
  LogQuotaWait(isFromLeader
                 ? (aDecided.mGranted ? "granted" : "refused")
                 : boost::describe::enum_to_string(aDecided.mEnd, ""),
               aDecided.mExpectedWait);
}

void
Exchange::CancelQuota()
{
  if (mQuotaTag != 0) {
    if (mInQuotaWaitRoom) {
      mCore.mCounters.Add(CounterId::kLimitWaitCancelled);
      LogQuotaWait("cancelled", std::nullopt);
    }
    mCore.mQuota.Cancel(mQuotaTag);
    mCore.mQuotaWaiters.erase(mQuotaTag);
    mQuotaTag = 0;
  }
  LeaveQuotaWait();
}

void
Exchange::LogQuotaWait(const char* aOutcome, std::optional<Duration> aExpected)
{
  mCore.mLogger.Log(
    observe::EventId::kLimitWaitEnded,
    { { "request", mId },
      { "customer", mCustomer->mName },
      { "units", Units() },
      { "priority", mCustomer->mPriority.value_or(mRoute->mPriority) },
      { "expected_ms", aExpected.value_or(Duration(0)) },
      { "waited_ms", mCore.mNow() - mQuotaRequestedAt },
      { "outcome", aOutcome } });
}

void
Exchange::RecordPlainCallTime(unsigned aStatus)
{
  constexpr unsigned kOk = 200;
  constexpr unsigned kFirstRefusal = 300;
  if (mCore.mScheduling.mMaxQuotaWait > Duration(0) &&
      mSent.mSentAt != TimePoint() &&
      mRoute->mKind != RequestKind::kStreaming && aStatus >= kOk &&
      aStatus < kFirstRefusal) {
    mCore.mPlainCallTimes.Add(mService, mCore.mNow() - mSent.mSentAt);
  }
}

} // namespace peridotspool::gateway
