// Requests that wait at the leader for their customer's limit.

#include "peridotspool/gateway/QuotaAllocator.h"

#include "peridotspool/gateway/QuotaTiming.h"

#include <algorithm>
#include <utility>

namespace peridotspool::gateway {

namespace {

/** Items of all customers that wait at once: eight customers with full queues,
 * less than 1 MB. */
constexpr std::size_t kMaxQueued = 4096;
/** Priority of items of entries that state none; after all others. */
constexpr std::uint32_t kLastPriority = UINT32_MAX;

std::uint32_t
ToMilliseconds(Duration aDuration)
{
  return static_cast<std::uint32_t>(
    std::chrono::ceil<std::chrono::milliseconds>(aDuration).count());
}

QuotaRequestItem
ToRequestItem(const CustomerName& aCustomer,
              const limits::QuotaQueueItem& aItem)
{
  return { .mCustomer = aCustomer,
           .mUnits = static_cast<std::uint64_t>(aItem.mUnits),
           .mTag = aItem.mTag,
           .mIsPrefetch = false,
           .mWait = {} };
}

} // namespace

// A new leader has few leases at first. Entries confirm theirs within the first
// moments; until then, feasibility is judged as if they had.
limits::QuotaSupply
QuotaAllocator::SupplyOf(const Account& aAccount, TimePoint aNow) const
{
  const bool isNew = aNow - mStartedAt < kQuotaDeferTimeout;
  const double reserved =
    isNew ? 0.0 : mLeases.FallbackAccrual() * aAccount.mRate;
  return { .mAvailable = aAccount.mBalance - reserved,
           .mPerSecond = aAccount.mRate * (isNew ? 1.0 : LeaderShare()),
           .mMaxUnits = aAccount.mMaxBalance - reserved,
           .mAt = mAccruedAt };
}

bool
QuotaAllocator::MayPassQueue(Account& aAccount,
                             const QuotaRequestItem& aItem,
                             TimePoint aNow) const
{
  if (!aAccount.mQueue && aItem.mWait) {
    aAccount.mQueue = std::make_unique<limits::QuotaQueue>();
  }
  if (!aAccount.mQueue) {
    return true;
  }
  if (aItem.mIsPrefetch) {
    return !aAccount.mQueue->IsContended(aNow);
  }
  return aAccount.mQueue->MayPass(aItem.mWait ? aItem.mWait->mPriority
                                              : kLastPriority,
                                  static_cast<double>(aItem.mUnits),
                                  SupplyOf(aAccount, aNow),
                                  aNow);
}

/** Refuses an item that others wait before: their units come first. */
QuotaResponseItem
QuotaAllocator::RefuseBehindQueue(Account& aAccount,
                                  const QuotaRequestItem& aItem,
                                  TimePoint aNow) const
{
  QuotaResponseItem result = Refuse(aAccount, aItem);
  if (!aItem.mIsPrefetch) {
    const limits::QuotaQueueItem item{
      .mFrom = {},
      .mTag = 0,
      .mUnits = static_cast<double>(aItem.mUnits),
      .mPriority = aItem.mWait ? aItem.mWait->mPriority : kLastPriority,
      .mLatestStart = aNow
    };
    result.mRetryAfterMs = std::max(result.mRetryAfterMs,
                                    ToMilliseconds(aAccount.mQueue->RetryAfter(
                                      item, SupplyOf(aAccount, aNow), aNow)));
  }
  return result;
}

QuotaResponseItem
QuotaAllocator::EvaluateWaiting(const Address& aFrom,
                                const QuotaRequestItem& aItem,
                                Account& aAccount,
                                TimePoint aNow)
{
  Accrue(aAccount, aNow);
  if (!aAccount.mQueue) {
    aAccount.mQueue = std::make_unique<limits::QuotaQueue>();
  }
  limits::QuotaQueue& queue = *aAccount.mQueue;
  const limits::QuotaQueueItem item{
    .mFrom = aFrom,
    .mTag = aItem.mTag,
    .mUnits = static_cast<double>(aItem.mUnits),
    .mPriority = aItem.mWait->mPriority,
    .mLatestStart = aNow + std::chrono::milliseconds(aItem.mWait->mMaxWaitMs)
  };
  const limits::QuotaSupply supply = SupplyOf(aAccount, aNow);
  // Other customers' queues don't refuse what needs no wait.
  const bool mustWait = queue.Size() > 0 || item.mUnits > supply.mAvailable;
  limits::QuotaVerdict verdict{ .mKind = limits::QuotaVerdictKind::kFull };
  if (mQueued < kMaxQueued || !mustWait) {
    mQueued -= queue.Size();
    verdict = queue.Add(item, supply, aNow);
    mQueued += queue.Size();
  } else {
    verdict.mRetryAfter = queue.RetryAfter(item, supply, aNow);
  }
  if (verdict.mKind != limits::QuotaVerdictKind::kQueued) {
    aAccount.mStatistics.mRefused += aItem.mUnits;
    return { .mItem = aItem,
             .mRetryAfterMs = ToMilliseconds(verdict.mRetryAfter) };
  }
  if (verdict.mPosition == 0 && CanGrantHead(aAccount)) {
    queue.PopHead();
    --mQueued;
    return Grant(aAccount, aItem, aNow);
  }
  if (verdict.mPosition + 1 < queue.Size()) {
    ServeQueue(aItem.mCustomer, aAccount, aNow);
  }
  return { .mItem = aItem,
           .mQueuedForMs = ToMilliseconds(verdict.mExpectedWait) };
}

bool
QuotaAllocator::CanGrantHead(Account& aAccount)
{
  const limits::QuotaQueueItem* head = aAccount.mQueue->Head();
  if (head == nullptr) {
    return false;
  }
  const double remaining = aAccount.mBalance - head->mUnits;
  if (remaining < mLeases.FallbackAccrual() * aAccount.mRate) {
    return false;
  }
  if (remaining < aAccount.mFloor) {
    aAccount.mLargestDeferred =
      std::max(aAccount.mLargestDeferred, head->mUnits);
    mNeedsLowerFloors = true;
    return false;
  }
  return true;
}

void
QuotaAllocator::ServeQueue(const CustomerName& aCustomer,
                           Account& aAccount,
                           TimePoint aNow)
{
  Accrue(aAccount, aNow);
  limits::QuotaQueue& queue = *aAccount.mQueue;
  const limits::QuotaSupply supply = SupplyOf(aAccount, aNow);
  for (const limits::QuotaQueueItem& item :
       queue.TakeInfeasible(supply, aNow)) {
    --mQueued;
    const QuotaRequestItem refused = ToRequestItem(aCustomer, item);
    aAccount.mStatistics.mRefused += refused.mUnits;
    RespondToQueued(
      item.mFrom,
      { .mItem = refused,
        .mRetryAfterMs = ToMilliseconds(queue.RetryAfter(item, supply, aNow)) },
      aNow);
  }
  while (CanGrantHead(aAccount)) {
    const limits::QuotaQueueItem item = *queue.Head();
    queue.PopHead();
    --mQueued;
    RespondToQueued(
      item.mFrom, Grant(aAccount, ToRequestItem(aCustomer, item), aNow), aNow);
  }
}

std::vector<AddressedQuotaResponse>
QuotaAllocator::ServeQueues(TimePoint aNow)
{
  if (mQueued > 0) {
    AdvanceInSteps(aNow);
    for (auto& [name, account] : mAccounts) {
      if (account.mQueue && account.mQueue->Size() > 0) {
        ServeQueue(name, account, aNow);
      }
    }
  }
  return TakeQueueResponses();
}

std::vector<AddressedQuotaResponse>
QuotaAllocator::TakeQueueResponses()
{
  return std::exchange(mQueueResponses, {});
}

void
QuotaAllocator::RespondToQueued(const Address& aTo,
                                QuotaResponseItem aResult,
                                TimePoint aNow)
{
  QuotaResponse response = MakeResponse(aNow);
  response.mResults.push_back(std::move(aResult));
  mQueueResponses.push_back({ .mTo = aTo, .mResponse = std::move(response) });
}

// What it reserved goes to the next one when the queue is served.
void
QuotaAllocator::CancelQueued(const Address& aFrom, std::uint64_t aTag)
{
  for (auto& [name, account] : mAccounts) {
    if (account.mQueue && account.mQueue->Cancel(aFrom, aTag)) {
      --mQueued;
      return;
    }
  }
}

} // namespace peridotspool::gateway
