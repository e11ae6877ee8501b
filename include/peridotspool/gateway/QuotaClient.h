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

/** What the gate says of one request. */
enum class QuotaOutcome
{
  kGranted,
  /** The leader is asked; the outcome comes with its answer, or in time. */
  kPending,
  kRefused,
};

struct QuotaDecision
{
  QuotaOutcome mOutcome = QuotaOutcome::kGranted;
  /** With kGranted. */
  QuotaReceipt mReceipt;
  /** Names the request in later outcomes; set with kPending. */
  std::uint64_t mTag = 0;
  /** With kPending: what to send to the leader. */
  QuotaRequest mRequest;
  /** With kRefused: when to come back. */
  Duration mRetryAfter{ 0 };
};

/** The late outcome of a request that was kPending. */
struct DeferredQuotaDecision
{
  std::uint64_t mTag = 0;
  bool mGranted = false;
  Duration mRetryAfter{ 0 };
  /** Granted or not, its source is who decided. */
  QuotaReceipt mReceipt;
};

/**
 * An entry's side of the customers' limits. Each request's units come out of a
 * small stock, or are asked for at the leader. An entry whose lease has ended
 * also has a small part of each limit's rate, which the leader leaves out of
 * what it gives. Nothing is granted before it is there: an entry that has no
 * units refuses.
 *
 * A pure step. Not thread-safe.
 */
class QuotaClient
{
public:
  QuotaDecision Acquire(const Customer& aCustomer,
                        double aUnits,
                        TimePoint aNow);
  /** Takes the leader's answer. */
  std::vector<DeferredQuotaDecision> HandleResponse(
    const QuotaResponse& aResponse);
  /** About every 50 ms: requests whose answer does not come. */
  std::vector<DeferredQuotaDecision> Tick(TimePoint aNow);
  /** Returns true iff the lease is of another leader than the one before. */
  bool HandleLease(const QuotaLease& aLease, TimePoint aNow);
  /** The newest lease, for the next report. */
  const QuotaLease& Lease() const { return mLease; }
  /** What to ask a new leader: all that still waits for an answer. */
  QuotaRequest PendingRequest() const;
  /** The request did not run after all. */
  void ReturnUnits(const Customer& aCustomer,
                   double aUnits,
                   const QuotaReceipt& aReceipt,
                   TimePoint aNow);
  /** What to send to the leader now and then; unset if there is nothing. */
  std::optional<QuotaRequest> TakePendingReturns();
  /** The caller of a request that waits has gone. */
  void Cancel(std::uint64_t aTag);
  /** Units granted for requests that no longer waited, since the start. */
  double LateUnits() const { return mLateUnits; }

private:
  struct FallbackBalance
  {
    double mUnits = 0.0;
    TimePoint mAccruedAt;
  };
  struct Account
  {
    PrefetchedQuota mPrefetched;
    /** Units a second that this entry uses, over the last seconds. */
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
  std::map<std::uint64_t, PendingItem> mPending;
  std::uint64_t mLastTag = 0;
  std::vector<QuotaReturn> mReturns;
  double mLateUnits = 0.0;
  /** Since when the leader's answers fail to come. */
  std::optional<TimePoint> mSilentSince;
  TimePoint mProbedAt;
  QuotaLease mLease;
  TimePoint mLeaseEnd;
  /** Since mLeaseEnd. */
  std::unordered_map<CustomerName, FallbackBalance> mFallbackBalances;
};

} // namespace peridotspool::gateway
