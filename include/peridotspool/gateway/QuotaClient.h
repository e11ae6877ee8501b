#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/gateway/Customer.h"
#include "peridotspool/gateway/PrefetchedQuota.h"
#include "peridotspool/gateway/QuotaMessage.h"
#include "peridotspool/gateway/QuotaReceipt.h"

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
  QuotaDecision Acquire(const Customer& aCustomer,
                        double aUnits,
                        TimePoint aNow);
  /** Applies the leader's response. */
  std::vector<DeferredQuotaDecision> HandleResponse(
    const QuotaResponse& aResponse);
  /** Decides requests whose response timed out; call about every 50 ms. */
  std::vector<DeferredQuotaDecision> Tick(TimePoint aNow);
  /** Returns true iff the lease comes from a new leader. */
  bool HandleLease(const QuotaLease& aLease, TimePoint aNow);
  /** Returns the newest lease, for the next report. */
  const QuotaLease& Lease() const { return mLease; }
  /** Returns the pending items of callers' requests, for a new leader. */
  QuotaRequest PendingRequest() const;
  /** Takes back the units of a request that was granted but not executed. */
  void ReturnUnits(const Customer& aCustomer,
                   double aUnits,
                   const QuotaReceipt& aReceipt,
                   TimePoint aNow);
  /** Returns a message that reports returned units; empty if there are none. */
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
  QuotaDecision MakeRequest(const Customer& aCustomer,
                            double aUnits,
                            double aUsageRate,
                            TimePoint aNow);
  void AddItem(QuotaRequest& aRequest, const PendingItem& aItem);
  void QueueReturn(const QuotaReturn& aReturn);

  std::unordered_map<CustomerName, Account> mAccounts;
  /** Items sent to the leader, by tag. */
  std::map<std::uint64_t, PendingItem> mPending;
  std::uint64_t mLastTag = 0;
  std::vector<QuotaReturn> mReturns;
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
