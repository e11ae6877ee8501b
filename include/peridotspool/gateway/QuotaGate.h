#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/gateway/Customer.h"
#include "peridotspool/gateway/QuotaMessage.h"
#include "peridotspool/gateway/QuotaReceipt.h"
#include "peridotspool/gateway/QuotaStock.h"

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
  kAsked,
  kRefused,
};

struct QuotaAnswer
{
  QuotaOutcome mOutcome = QuotaOutcome::kGranted;
  /** With kGranted. */
  QuotaReceipt mReceipt;
  /** Names the request in later outcomes; set with kAsked. */
  std::uint64_t mTag = 0;
  /** With kAsked: what to send to the leader. */
  QuotaAsk mAsk;
  /** With kRefused: when to come back. */
  Duration mComeBack{ 0 };
};

/** The late outcome of a request that was kAsked. */
struct QuotaDecided
{
  std::uint64_t mTag = 0;
  bool mGranted = false;
  Duration mComeBack{ 0 };
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
class QuotaGate
{
public:
  QuotaAnswer Take(const Customer& aCustomer, double aUnits, TimePoint aNow);
  /** Takes the leader's answer. */
  std::vector<QuotaDecided> TakeGrant(const QuotaGrant& aGrant);
  /** About every 50 ms: requests whose answer does not come. */
  std::vector<QuotaDecided> Tick(TimePoint aNow);
  /** Returns true iff the lease is of another leader than the one before. */
  bool TakeLease(const QuotaLease& aLease, TimePoint aNow);
  /** The newest lease, for the next report. */
  const QuotaLease& Lease() const { return mLease; }
  /** What to ask a new leader: all that still waits for an answer. */
  QuotaAsk AskAgain() const;
  /** The request did not run after all. */
  void GiveBack(const Customer& aCustomer,
                double aUnits,
                const QuotaReceipt& aReceipt,
                TimePoint aNow);
  /** What to send to the leader now and then; unset if there is nothing. */
  std::optional<QuotaAsk> TakeReturns();
  /** The caller of a request that waits has gone. */
  void Forget(std::uint64_t aTag);
  /** Units granted for requests that no longer waited, since the start. */
  double LateUnits() const { return mLateUnits; }

private:
  struct OwnPart
  {
    double mUnits = 0.0;
    TimePoint mAt;
  };
  struct Account
  {
    QuotaStock mStock;
    /** Units a second that this entry uses, over the last seconds. */
    double mUse = 0.0;
    TimePoint mUsedAt;
  };
  struct Waiting
  {
    Customer mCustomer;
    double mUnits = 0.0;
    TimePoint mAskedAt;
    bool mStock = false;
  };

  Account& Use(const Customer& aCustomer, double aUnits, TimePoint aNow);
  bool UsesOwnPart(TimePoint aNow) const;
  OwnPart* Grow(const Customer& aCustomer, TimePoint aNow);
  bool TakeOwn(const Customer& aCustomer, double aUnits, TimePoint aNow);
  Duration ComeBack(const Customer& aCustomer, double aUnits, TimePoint aNow);
  bool RefusesAtOnce(TimePoint aNow) const;
  QuotaAnswer Ask(const Customer& aCustomer,
                  double aUnits,
                  double aUse,
                  TimePoint aNow);
  void AddLine(QuotaAsk& aAsk, const Waiting& aWaiting);
  void Return(const QuotaReturn& aReturn);

  std::unordered_map<CustomerName, Account> mAccounts;
  std::map<std::uint64_t, Waiting> mWaiting;
  std::uint64_t mLastTag = 0;
  std::vector<QuotaReturn> mReturns;
  double mLateUnits = 0.0;
  /** Since when the leader's answers fail to come. */
  std::optional<TimePoint> mSilentSince;
  TimePoint mProbedAt;
  QuotaLease mLease;
  TimePoint mLeaseEnd;
  /** Since mLeaseEnd. */
  std::unordered_map<CustomerName, OwnPart> mOwnParts;
};

} // namespace peridotspool::gateway
