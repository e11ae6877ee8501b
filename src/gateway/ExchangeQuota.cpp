// What a request counts against its customer's limit.

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
constexpr double kLeastComeBack = 0.2;

} // namespace

// A request counts by the sum of its prompt and the most that it may generate.
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
Exchange::AskQuota()
{
  if (mCustomer == nullptr) {
    Dispatch();
    return;
  }
  const QuotaDecision answer =
    mCore.mQuota.Acquire(*mCustomer, Units(), mCore.mNow());
  switch (answer.mOutcome) {
    case QuotaOutcome::kGranted:
      TakeGranted(answer.mReceipt);
      return;
    case QuotaOutcome::kRefused:
      RefuseForQuota(answer.mRetryAfter, QuotaSource::kOwnPart);
      return;
    case QuotaOutcome::kPending:
      mQuotaTag = answer.mTag;
      mCore.mWaiting[mQuotaTag] =
        [self = shared_from_this()](const DeferredQuotaDecision& aDecided) {
          self->OnQuota(aDecided);
        };
      mCore.mTellLeader(answer.mRequest);
      return;
  }
}

void
Exchange::OnQuota(const DeferredQuotaDecision& aDecided)
{
  mQuotaTag = 0;
  if (mOver) {
    if (aDecided.mGranted) {
      GiveBack(aDecided.mReceipt);
    }
  } else if (aDecided.mGranted) {
    TakeGranted(aDecided.mReceipt);
  } else {
    RefuseForQuota(aDecided.mRetryAfter, aDecided.mReceipt.mSource);
  }
}

void
Exchange::GiveBack(const QuotaReceipt& aReceipt)
{
  if (mCustomer != nullptr) {
    mCore.mQuota.ReturnUnits(*mCustomer, Units(), aReceipt, mCore.mNow());
  }
}

void
Exchange::TakeGranted(const QuotaReceipt& aReceipt)
{
  mGranted = true;
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
Exchange::RefuseForQuota(Duration aComeBack, QuotaSource aDecidedBy)
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
      { "come_back_ms", aComeBack } });
  AnswerOwn(
    kTooMany,
    "over the customer's limit",
    std::max(kLeastComeBack, std::chrono::duration<double>(aComeBack).count()));
}

void
Exchange::CountUsage()
{
  if (mCustomer != nullptr && !mCounted) {
    mCounted = true;
    mCore.mUsage.Count(mCustomer->mName, mCore.mWall(), mCore.mNow());
  }
}

} // namespace peridotspool::gateway
