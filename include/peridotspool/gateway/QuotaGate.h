#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/gateway/Customer.h"
#include "peridotspool/gateway/SharedMessage.h"

#include <boost/describe/enum.hpp>
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

/** Whose rights a request's units were taken from. */
enum class QuotaSource
{
  /** The customer has no limit, or the request was not granted. */
  kNone,
  kLeader,
  /** Granted by the leader before the request came. */
  kStock,
  /** The entry's own part, while no leader answers. */
  kOwnPart,
};
BOOST_DESCRIBE_ENUM(QuotaSource, kNone, kLeader, kStock, kOwnPart)

struct QuotaAnswer
{
  QuotaOutcome mOutcome = QuotaOutcome::kGranted;
  QuotaSource mSource = QuotaSource::kNone;
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
  /** Of who decided, granted or not. */
  QuotaSource mSource = QuotaSource::kLeader;
};

/**
 * An entry's side of the customers' limits. Each request's units come out of a
 * small stock, or are asked for at the leader. An entry that gets no answer
 * goes on with a small fixed part of each limit, which the leader leaves out of
 * what it gives: also entries that are cut off keep the limit together.
 *
 * A pure step. Not thread-safe.
 */
class QuotaGate
{
public:
  /** Entries that may be cut off share the limit with this many parts. */
  void UseEntries(std::size_t aEntries);

  QuotaAnswer Take(const Customer& aCustomer, double aUnits, TimePoint aNow);
  /** Takes the leader's answer. */
  std::vector<QuotaDecided> TakeGrant(const QuotaGrant& aGrant, TimePoint aNow);
  /** About every 50 ms: requests whose answer does not come. */
  std::vector<QuotaDecided> Tick(TimePoint aNow);
  /** The request did not run after all. */
  void GiveBack(const CustomerName& aCustomer, double aUnits);
  /** The caller of a request that waits has gone. */
  void Forget(std::uint64_t aTag);
  /** Units granted for requests that no longer waited, since the start. */
  double LateUnits() const { return mLateUnits; }

private:
  struct Account
  {
    double mStock = 0.0;
    TimePoint mStockAt;
    /** Units a second that this entry uses, over the last seconds. */
    double mUse = 0.0;
    TimePoint mUsedAt;
    /** The entry's own part, while the leader does not answer. */
    double mOwn = 0.0;
    TimePoint mOwnAt;
    double mRate = 0.0;
  };
  struct Waiting
  {
    CustomerName mCustomer;
    double mUnits = 0.0;
    TimePoint mAskedAt;
  };

  Account& Use(const Customer& aCustomer, double aUnits, TimePoint aNow);
  bool TakeOwn(Account& aAccount, double aUnits, TimePoint aNow);
  Duration OwnComeBack(const Account& aAccount) const;

  std::size_t mEntries = 32;
  std::unordered_map<CustomerName, Account> mAccounts;
  std::map<std::uint64_t, Waiting> mWaiting;
  std::uint64_t mLastTag = 0;
  double mLateUnits = 0.0;
  /** Since when the leader's answers fail to come. */
  std::optional<TimePoint> mSilentSince;
  TimePoint mProbedAt;
};

} // namespace peridotspool::gateway
