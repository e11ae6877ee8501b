// Requests of an entry that wait at the leader for their customer's limit.

#include "peridotspool/gateway/QuotaClient.h"

#include "peridotspool/gateway/QuotaTiming.h"

#include <algorithm>
#include <cmath>

namespace peridotspool::gateway {

// An item that the leader has queued isn't given up before its latest start.
// Without any response, the leader is taken to be lost as for other items.
bool
QuotaClient::IsOverdue(const PendingItem& aItem, TimePoint aNow)
{
  const TimePoint timeout = aItem.mRequestedAt + kQuotaResponseTimeout;
  if (!aItem.MayWait()) {
    return aNow >= timeout;
  }
  return aNow >= (aItem.mExpectedWait ? aItem.LatestStart()
                                      : std::min(timeout, aItem.LatestStart()));
}

DeferredQuotaDecision
QuotaClient::DecideOverdue(std::uint64_t aTag,
                           const PendingItem& aItem,
                           TimePoint aNow)
{
  const bool granted = AcquireFallback(aItem.mCustomer, aItem.mUnits, aNow);
  return { .mTag = aTag,
           .mGranted = granted,
           .mRetryAfter = RetryAfter(aItem.mCustomer, aItem.mUnits, aNow),
           .mReceipt = { .mSource = QuotaSource::kOwnPart },
           .mEnd = granted ? limits::QuotaWaitEnd::kFallback
                           : limits::QuotaWaitEnd::kLatestStart,
           .mExpectedWait = aItem.mExpectedWait };
}

bool
QuotaClient::HasQueued(const CustomerName& aCustomer) const
{
  return std::any_of(mPending.begin(), mPending.end(), [&](const auto& aPair) {
    return aPair.second.mExpectedWait &&
           aPair.second.mCustomer.mName == aCustomer;
  });
}

std::vector<DeferredQuotaDecision>
QuotaClient::RefuseWaiting(TimePoint aNow)
{
  std::vector<DeferredQuotaDecision> decisions;
  std::erase_if(mPending, [&](const auto& aPair) {
    const auto& [tag, pending] = aPair;
    if (!pending.MayWait()) {
      return false;
    }
    QueueCancel(tag, pending);
    decisions.push_back(
      { .mTag = tag,
        .mGranted = false,
        .mRetryAfter = RetryAfter(pending.mCustomer, pending.mUnits, aNow),
        .mReceipt = { .mSource = QuotaSource::kOwnPart },
        .mEnd = limits::QuotaWaitEnd::kStopping,
        .mExpectedWait = pending.mExpectedWait });
    return true;
  });
  return decisions;
}

// The new leader knows nothing of what the earlier one has queued: its timeout
// applies again until it responds.
QuotaRequest
QuotaClient::PendingRequest(TimePoint aNow)
{
  QuotaRequest request;
  for (auto& [tag, pending] : mPending) {
    if (pending.mIsPrefetch) {
      continue;
    }
    if (pending.MayWait() && aNow != TimePoint::min()) {
      const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        pending.LatestStart() - limits::kQuotaTransitAllowance - aNow);
      pending.mWait->mMaxWaitMs =
        static_cast<std::uint32_t>(std::max<std::int64_t>(left.count(), 1));
      pending.mRequestedAt = aNow;
      pending.mExpectedWait.reset();
    }
    request.mItems.push_back(
      { .mCustomer = pending.mCustomer.mName,
        .mUnits = static_cast<std::uint64_t>(std::ceil(pending.mUnits)),
        .mTag = tag,
        .mIsPrefetch = false,
        .mWait = pending.mWait });
  }
  return request;
}

void
QuotaClient::Cancel(std::uint64_t aTag)
{
  const auto found = mPending.find(aTag);
  if (found != mPending.end()) {
    QueueCancel(aTag, found->second);
    mPending.erase(found);
  }
}

/** Beyond the bound, the leader drops items at their latest start. */
void
QuotaClient::QueueCancel(std::uint64_t aTag, const PendingItem& aItem)
{
  if (aItem.MayWait() && mCancelled.size() < kMaxPendingItems) {
    mCancelled.push_back(aTag);
  }
}

} // namespace peridotspool::gateway
