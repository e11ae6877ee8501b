#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/gateway/Customer.h"
#include "peridotspool/gateway/PrefetchedQuota.h"
#include "peridotspool/gateway/QuotaMessage.h"
#include "peridotspool/gateway/QuotaReceipt.h"
#include "peridotspool/limits/QuotaWaitEnd.h"

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace peridotspool::gateway {

/** The result of acquiring units for one request. */
enum class QuotaOutcome
{
  kGranted,
  /** The decision follows with the leader's response or after a timeout. */
  kPending,
  kRefused,
};

/** The immediate decision on one request. */
struct QuotaDecision
{
  QuotaOutcome mOutcome = QuotaOutcome::kGranted;
  /** Set with kGranted. */
  QuotaReceipt mReceipt;
  /** Set with kPending; identifies the request in later decisions. */
  std::uint64_t mTag = 0;
  /** Set with kPending: the message to send to the leader. */
  QuotaRequest mRequest;
  /** Set with kRefused: when the caller should retry. */
  Duration mRetryAfter{ 0 };
};

/** The decision on a request that was kPending. */
struct DeferredQuotaDecision
{
  std::uint64_t mTag = 0;
  bool mGranted = false;
  Duration mRetryAfter{ 0 };
  /** Its source tells who decided, also if the request is refused. */
  QuotaReceipt mReceipt;
  limits::QuotaWaitEnd mEnd = limits::QuotaWaitEnd::kLeader;
  /** Set if the request was queued: when the leader expected to grant it. */
  std::optional<Duration> mExpectedWait;
};

/**
 * Enforces the customers' limits in one entry. Units for a request come from
 * the units that the entry has prefetched or are requested from the leader. An
 * entry whose lease has expired also accrues a small fallback share of each
 * limit's rate, which the leader excludes from its own accounts. A request is
 * granted only from units that are already available; otherwise it is refused.
 *
 * Does no I/O and reads no clock. Not thread-safe.
 */
class QuotaClient
{
public:
  /** @param aWait how the request may wait; empty if requests don't wait */
  QuotaDecision Acquire(const Customer& aCustomer,
                        double aUnits,
                        TimePoint aNow,
                        std::optional<limits::QuotaWait> aWait = {});
  /** Applies the leader's response. */
  std::vector<DeferredQuotaDecision> HandleResponse(
    const QuotaResponse& aResponse);
  /** Decides requests whose response timed out; call about every 50 ms. */
  std::vector<DeferredQuotaDecision> Tick(TimePoint aNow);
  /** Returns true iff the lease comes from a new leader. */
  bool HandleLease(const QuotaLease& aLease, TimePoint aNow);
  /** Returns the newest lease, for the next report. */
  const QuotaLease& Lease() const { return mLease; }
  /** Refuses all requests that wait, as the process is about to stop. */
  std::vector<DeferredQuotaDecision> RefuseWaiting(TimePoint aNow);
  /** Returns the pending items of callers' requests, for a new leader. Those
   * that wait do so for the rest of their time. */
  QuotaRequest PendingRequest(TimePoint aNow = TimePoint::min());
  /** Takes back the units of a request that was granted but not executed. */
  void ReturnUnits(const Customer& aCustomer,
                   double aUnits,
                   const QuotaReceipt& aReceipt,
                   TimePoint aNow);
  /** Returns a message that reports returned units and cancelled items; empty
   * if there are none. */
  std::optional<QuotaRequest> TakePendingReturns();
  /** Drops a pending request, for example if its caller disconnected. */
  void Cancel(std::uint64_t aTag);
  /** Returns the total units granted to requests no longer pending. */
  double LateUnits() const { return mLateUnits; }

private:
  /** Units accrued from the fallback share of one customer's limit. */
  struct FallbackBalance
  {
    double mUnits = 0.0;
    TimePoint mAccruedAt;
  };
  struct Account
  {
    PrefetchedQuota mPrefetched;
    /** Recent usage at this entry, in units per second. */
    double mUsageRate = 0.0;
    TimePoint mUsageRateAt;
  };
  struct PendingItem
  {
    Customer mCustomer;
    double mUnits = 0.0;
    TimePoint mRequestedAt;
    bool mIsPrefetch = false;
    std::optional<limits::QuotaWait> mWait;
    /** Set once the leader has queued the item. */
    std::optional<Duration> mExpectedWait;

    bool MayWait() const { return mWait && mWait->mMaxWaitMs > 0; }
    TimePoint LatestStart() const
    {
      return mRequestedAt + limits::kQuotaTransitAllowance +
             std::chrono::milliseconds(mWait->mMaxWaitMs);
    }
  };

  Account& RecordUsage(const Customer& aCustomer,
                       double aUnits,
                       TimePoint aNow);
  bool MayUseFallback(TimePoint aNow) const;
  FallbackBalance* AccrueFallback(const Customer& aCustomer, TimePoint aNow);
  bool AcquireFallback(const Customer& aCustomer,
                       double aUnits,
                       TimePoint aNow);
  Duration RetryAfter(const Customer& aCustomer, double aUnits, TimePoint aNow);
  bool MustRefuse(TimePoint aNow) const;
  QuotaDecision MakeRequest(const PendingItem& aItem, double aUsageRate);
  /** Returns true iff the item's time for a decision has passed. */
  static bool IsOverdue(const PendingItem& aItem, TimePoint aNow);
  DeferredQuotaDecision DecideOverdue(std::uint64_t aTag,
                                      const PendingItem& aItem,
                                      TimePoint aNow);
  void QueueCancel(std::uint64_t aTag, const PendingItem& aItem);
  bool HasQueued(const CustomerName& aCustomer) const;
  void AddItem(QuotaRequest& aRequest, const PendingItem& aItem);
  void QueueReturn(const QuotaReturn& aReturn);

  std::unordered_map<CustomerName, Account> mAccounts;
  /** Items sent to the leader, by tag. */
  std::map<std::uint64_t, PendingItem> mPending;
  std::uint64_t mLastTag = 0;
  std::vector<QuotaReturn> mReturns;
  /** Tags of items that may still be queued and that nobody waits for. */
  std::vector<std::uint64_t> mCancelled;
  double mLateUnits = 0.0;
  /** When the first response timed out since the leader's last response. */
  std::optional<TimePoint> mSilentSince;
  TimePoint mProbedAt;
  QuotaLease mLease;
  TimePoint mLeaseEnd;
  /** Accrued since mLeaseEnd. */
  std::unordered_map<CustomerName, FallbackBalance> mFallbackBalances;
};

} // namespace peridotspool::gateway
