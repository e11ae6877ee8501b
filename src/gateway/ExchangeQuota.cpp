// Accounting of a request against its customer's limit.

#include "gateway/Exchange.h"
#include "peridotspool/gateway/TokenCounts.h"

#include <boost/describe/enum_to_string.hpp>

#include <algorithm>
#include <utility>

namespace peridotspool::gateway {

namespace {

using observe::CounterId;
using observe::EventId;

constexpr unsigned kTooMany = 429;
constexpr double kMinRetryAfterSeconds = 0.2;

} // namespace

// Where tokens are limited, a request counts its prompt tokens plus the maximum
// of tokens that it may generate.
double
Exchange::Units() const
{
  if (mCustomer->mUnit == QuotaUnit::kRequests) {
    return 1.0;
  }
  const auto counts =
    ParseTokenCounts(FieldOf(mRequest.mFields, mCore.mNames.mTokenCounts));
  return counts ? static_cast<double>(counts->mPrompt + counts->mMaxOutput)
                : mCustomer->mDefaultTokens;
}

void
Exchange::RequestQuota()
{
  if (mCustomer == nullptr) {
    Dispatch();
    return;
  }
  mQuotaRequestedAt = mCore.mNow();
  const QuotaDecision answer = mCore.mQuota.Acquire(
    *mCustomer, Units(), mQuotaRequestedAt, WaitForQuota());
  if (answer.mOutcome != QuotaOutcome::kPending) {
    LeaveQuotaWait();
  }
  switch (answer.mOutcome) {
    case QuotaOutcome::kGranted:
      OnQuotaGranted(answer.mReceipt);
      return;
    case QuotaOutcome::kRefused:
      RefuseForQuota(answer.mRetryAfter, QuotaSource::kOwnPart);
      return;
    case QuotaOutcome::kPending:
      mQuotaTag = answer.mTag;
      mCore.mQuotaWaiters[mQuotaTag] =
        [self = shared_from_this()](const DeferredQuotaDecision& aDecided) {
          self->OnQuotaResponse(aDecided);
        };
      mCore.mSendToLeader(answer.mRequest);
      return;
  }
}

void
Exchange::OnQuotaResponse(const DeferredQuotaDecision& aDecided)
{
  mQuotaTag = 0;
  RecordQuotaWait(aDecided);
  if (mEnded) {
    if (aDecided.mGranted) {
      ReturnQuota(aDecided.mReceipt);
    }
  } else if (aDecided.mGranted) {
    OnQuotaGranted(aDecided.mReceipt);
  } else {
    RefuseForQuota(aDecided.mRetryAfter, aDecided.mReceipt.mSource);
  }
}

void
Exchange::ReturnQuota(const QuotaReceipt& aReceipt)
{
  if (mCustomer != nullptr) {
    mCore.mQuota.ReturnUnits(*mCustomer, Units(), aReceipt, mCore.mNow());
  }
}

void
Exchange::OnQuotaGranted(const QuotaReceipt& aReceipt)
{
  mQuotaGranted = true;
  mReceipt = aReceipt;
  const auto units = static_cast<std::uint64_t>(Units());
  switch (aReceipt.mSource) {
    case QuotaSource::kNone:
      break;
    case QuotaSource::kLeader:
      mCore.mCounters.Add(CounterId::kLimitUnitsLeader, units);
      break;
    case QuotaSource::kStock:
      mCore.mCounters.Add(CounterId::kLimitUnitsStock, units);
      break;
    case QuotaSource::kOwnPart:
      mCore.mCounters.Add(CounterId::kLimitUnitsOwnPart, units);
      break;
  }
  Dispatch();
}

void
Exchange::RefuseForQuota(Duration aRetryAfter, QuotaSource aDecidedBy)
{
  mCore.mCounters.Add(CounterId::kRefusedRateLimit);
  mCore.mLogger.Log(
    EventId::kRequestRefused,
    { { "request", mId },
      { "reason", "rate_limit" },
      { "customer", mCustomer->mName },
      { "units", Units() },
      { "rate", mCustomer->mRatePerSecond },
      { "burst", mCustomer->mBurst },
      { "settings", mTable->Version() },
      { "decided_by", boost::describe::enum_to_string(aDecidedBy, "") },
      { "asked_ms", mCore.mNow() - mArrivedAt },
      { "come_back_ms", aRetryAfter } });
  SendLocalResponse(
    kTooMany,
    "over the customer's limit",
    std::max(kMinRetryAfterSeconds,
             std::chrono::duration<double>(aRetryAfter).count()));
}

void
Exchange::CountUsage()
{
  if (mCustomer != nullptr && !mUsageCounted) {
    mUsageCounted = true;
    mCore.mUsage.Count(mCustomer->mName, mCore.mWallClock(), mCore.mNow());
  }
}

} // namespace peridotspool::gateway
