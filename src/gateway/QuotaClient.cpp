#include "peridotspool/gateway/QuotaClient.h"

#include "peridotspool/gateway/QuotaTiming.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace peridotspool::gateway {

namespace {

/** Once the leader has not responded for this long after a timeout, requests no
 * longer wait for it. */
constexpr Duration kLeaderSilenceTimeout = std::chrono::milliseconds(400);
/** How often an unresponsive leader is tried again. */
constexpr Duration kProbePeriod = std::chrono::milliseconds(250);
/** Each request also prefetches units for this much of the entry's usage. */
constexpr double kPrefetchSeconds = 0.4;
/** The time constant of the usage rate's exponential average. */
constexpr double kUsageRateSeconds = 2.0;
constexpr std::size_t kMaxReturns = 1024;
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(200);
/** A leader is likely to respond again by then. */
constexpr Duration kMaxRetryAfter = std::chrono::seconds(1);

} // namespace

QuotaClient::Account&
QuotaClient::RecordUsage(const Customer& aCustomer,
                         double aUnits,
                         TimePoint aNow)
{
  const auto [place, added] = mAccounts.try_emplace(aCustomer.mName);
  Account& account = place->second;
  if (added) {
    account.mUsageRateAt = aNow;
  }
  const double decay =
    std::exp(-ToSeconds(aNow - account.mUsageRateAt) / kUsageRateSeconds);
  account.mUsageRate = account.mUsageRate * decay + aUnits / kUsageRateSeconds;
  account.mUsageRateAt = aNow;
  return account;
}

QuotaDecision
QuotaClient::Acquire(const Customer& aCustomer,
                     double aUnits,
                     TimePoint aNow,
                     std::optional<limits::QuotaWait> aWait)
{
  if (aCustomer.mRatePerSecond <= 0.0) {
    return {};
  }
  Account& account = RecordUsage(aCustomer, aUnits, aNow);
  if (const auto expiresAt = account.mPrefetched.TryTake(aUnits, aNow)) {
    return { .mReceipt = { .mSource = QuotaSource::kStock,
                           .mExpiresAt = *expiresAt } };
  }
  if (AcquireFallback(aCustomer, aUnits, aNow)) {
    return { .mReceipt = { .mSource = QuotaSource::kOwnPart } };
  }
  if (MustRefuse(aNow)) {
    return { .mOutcome = QuotaOutcome::kRefused,
             .mRetryAfter = RetryAfter(aCustomer, aUnits, aNow) };
  }
  return MakeRequest({ .mCustomer = aCustomer,
                       .mUnits = aUnits,
                       .mRequestedAt = aNow,
                       .mIsPrefetch = false,
                       .mWait = aWait,
                       .mExpectedWait = {} },
                     account.mUsageRate);
}

bool
QuotaClient::MustRefuse(TimePoint aNow) const
{
  const bool isSilent = mSilentSince &&
                        aNow - *mSilentSince >= kLeaderSilenceTimeout &&
                        aNow - mProbedAt < kProbePeriod;
  return isSilent || mPending.size() >= kMaxPendingItems;
}

// Nothing is prefetched while requests of the customer wait: it would let small
// ones pass them.
QuotaDecision
QuotaClient::MakeRequest(const PendingItem& aItem, double aUsageRate)
{
  mProbedAt = aItem.mRequestedAt;
  QuotaDecision decision{ .mOutcome = QuotaOutcome::kPending };
  decision.mRequest.mReturns = std::exchange(mReturns, {});
  decision.mRequest.mCancelled = std::exchange(mCancelled, {});
  PendingItem prefetch = aItem;
  prefetch.mUnits = std::floor(aUsageRate * kPrefetchSeconds);
  prefetch.mIsPrefetch = true;
  prefetch.mWait.reset();
  const bool prefetches =
    prefetch.mUnits >= 1.0 &&
    (!aItem.MayWait() || !HasQueued(aItem.mCustomer.mName));
  AddItem(decision.mRequest, aItem);
  decision.mTag = mLastTag;
  if (prefetches) {
    AddItem(decision.mRequest, prefetch);
  }
  return decision;
}

void
QuotaClient::AddItem(QuotaRequest& aRequest, const PendingItem& aItem)
{
  mPending.emplace(++mLastTag, aItem);
  aRequest.mItems.push_back(
    { .mCustomer = aItem.mCustomer.mName,
      .mUnits = static_cast<std::uint64_t>(std::ceil(aItem.mUnits)),
      .mTag = mLastTag,
      .mIsPrefetch = aItem.mIsPrefetch,
      .mWait = aItem.mWait });
}

// Units granted to a request that is no longer pending are returned to the
// leader. If this entry kept them, they would be used in addition to what the
// account has accrued since the grant.
std::vector<DeferredQuotaDecision>
QuotaClient::HandleResponse(const QuotaResponse& aResponse)
{
  mSilentSince.reset();
  std::vector<DeferredQuotaDecision> decisions;
  for (const QuotaResponseItem& result : aResponse.mResults) {
    const QuotaRequestItem& item = result.mItem;
    const auto found = mPending.find(item.mTag);
    const bool isPending = found != mPending.end();
    if (result.mQueuedForMs) {
      if (isPending) {
        found->second.mExpectedWait =
          std::chrono::milliseconds(*result.mQueuedForMs);
      }
      continue;
    }
    if (isPending && !found->second.mIsPrefetch) {
      decisions.push_back(
        { .mTag = item.mTag,
          .mGranted = result.mGranted,
          .mRetryAfter = std::chrono::milliseconds(result.mRetryAfterMs),
          .mReceipt = { .mSource = QuotaSource::kLeader,
                        .mAllocatorId = aResponse.mAllocatorId,
                        .mGrantedAt = aResponse.mGrantedAt },
          .mEnd = limits::QuotaWaitEnd::kLeader,
          .mExpectedWait = found->second.mExpectedWait });
    } else if (isPending && result.mGranted) {
      mAccounts[item.mCustomer].mPrefetched.Add(
        static_cast<double>(item.mUnits),
        found->second.mRequestedAt + kPrefetchLifetime);
    } else if (result.mGranted) {
      mLateUnits += static_cast<double>(item.mUnits);
      QueueReturn({ .mAllocatorId = aResponse.mAllocatorId,
                    .mGrantedAt = aResponse.mGrantedAt,
                    .mCustomer = item.mCustomer,
                    .mUnits = item.mUnits });
    }
    if (isPending) {
      mPending.erase(found);
    }
  }
  return decisions;
}

std::vector<DeferredQuotaDecision>
QuotaClient::Tick(TimePoint aNow)
{
  std::vector<DeferredQuotaDecision> decisions;
  for (auto place = mPending.begin(); place != mPending.end();) {
    const auto& [tag, pending] = *place;
    // An entry without a lease uses its fallback share for requests that wait,
    // as it does for others.
    const bool isCovered =
      pending.MayWait() &&
      AcquireFallback(pending.mCustomer, pending.mUnits, aNow);
    if (isCovered) {
      QueueCancel(tag, pending);
      decisions.push_back({ .mTag = tag,
                            .mGranted = true,
                            .mReceipt = { .mSource = QuotaSource::kOwnPart },
                            .mEnd = limits::QuotaWaitEnd::kFallback,
                            .mExpectedWait = pending.mExpectedWait });
    } else if (!IsOverdue(pending, aNow)) {
      ++place;
      continue;
    } else {
      if (!pending.mExpectedWait) {
        mSilentSince = mSilentSince.value_or(aNow);
      }
      if (!pending.mIsPrefetch) {
        decisions.push_back(DecideOverdue(tag, pending, aNow));
      }
    }
    place = mPending.erase(place);
  }
  return decisions;
}

// A lease of an earlier term was delayed in transit. It is ignored; its
// leader no longer relies on it.
bool
QuotaClient::HandleLease(const QuotaLease& aLease, TimePoint aNow)
{
  const bool isNew = aLease.mAllocatorId != mLease.mAllocatorId;
  if (aLease.mTerm < mLease.mTerm ||
      (!isNew && aLease.mNumber <= mLease.mNumber)) {
    return false;
  }
  mLease = aLease;
  mLeaseEnd = aNow + kQuotaLeaseLength;
  mFallbackBalances.clear();
  return isNew;
}

bool
QuotaClient::MayUseFallback(TimePoint aNow) const
{
  return mLease.mFallbackDivisor > 0 && aNow >= mLeaseEnd &&
         aNow - mLeaseEnd < kFallbackDuration;
}

/** Returns null while the fallback share may not be used. */
QuotaClient::FallbackBalance*
QuotaClient::AccrueFallback(const Customer& aCustomer, TimePoint aNow)
{
  if (!MayUseFallback(aNow)) {
    return nullptr;
  }
  const auto [place, added] = mFallbackBalances.try_emplace(
    aCustomer.mName, FallbackBalance{ .mAccruedAt = mLeaseEnd });
  FallbackBalance& balance = place->second;
  const double rate = aCustomer.mRatePerSecond / mLease.mFallbackDivisor;
  balance.mUnits =
    std::min(balance.mUnits + rate * ToSeconds(aNow - balance.mAccruedAt),
             rate * ToSeconds(kMaxFallbackAccrual));
  balance.mAccruedAt = aNow;
  return &balance;
}

bool
QuotaClient::AcquireFallback(const Customer& aCustomer,
                             double aUnits,
                             TimePoint aNow)
{
  FallbackBalance* balance = AccrueFallback(aCustomer, aNow);
  if (balance == nullptr || balance->mUnits < aUnits) {
    return false;
  }
  balance->mUnits -= aUnits;
  return true;
}

Duration
QuotaClient::RetryAfter(const Customer& aCustomer,
                        double aUnits,
                        TimePoint aNow)
{
  const FallbackBalance* balance = AccrueFallback(aCustomer, aNow);
  if (balance == nullptr) {
    return kMinRetryAfter;
  }
  const double rate = aCustomer.mRatePerSecond / mLease.mFallbackDivisor;
  const Duration wait(static_cast<Duration::rep>(
    std::min((aUnits - balance->mUnits) / rate, ToSeconds(kMaxRetryAfter)) *
    1e6));
  return std::max(wait, kMinRetryAfter);
}

void
QuotaClient::ReturnUnits(const Customer& aCustomer,
                         double aUnits,
                         const QuotaReceipt& aReceipt,
                         TimePoint aNow)
{
  switch (aReceipt.mSource) {
    case QuotaSource::kNone:
      return;
    case QuotaSource::kLeader:
      QueueReturn({ .mAllocatorId = aReceipt.mAllocatorId,
                    .mGrantedAt = aReceipt.mGrantedAt,
                    .mCustomer = aCustomer.mName,
                    .mUnits = static_cast<std::uint64_t>(aUnits) });
      return;
    case QuotaSource::kStock:
      mAccounts[aCustomer.mName].mPrefetched.Add(aUnits, aReceipt.mExpiresAt);
      return;
    case QuotaSource::kOwnPart:
      if (FallbackBalance* balance = AccrueFallback(aCustomer, aNow)) {
        const double rate = aCustomer.mRatePerSecond / mLease.mFallbackDivisor;
        balance->mUnits = std::min(balance->mUnits + aUnits,
                                   rate * ToSeconds(kMaxFallbackAccrual));
      }
      return;
  }
}

void
QuotaClient::QueueReturn(const QuotaReturn& aReturn)
{
  if (mReturns.size() < kMaxReturns) {
    mReturns.push_back(aReturn);
  }
}

std::optional<QuotaRequest>
QuotaClient::TakePendingReturns()
{
  if (mReturns.empty() && mCancelled.empty()) {
    return std::nullopt;
  }
  return QuotaRequest{ .mItems = {},
                       .mReturns = std::exchange(mReturns, {}),
                       .mCancelled = std::exchange(mCancelled, {}) };
}

} // namespace peridotspool::gateway
