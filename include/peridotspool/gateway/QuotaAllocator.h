#pragma once

#include "peridotspool/base/Address.h"
#include "peridotspool/base/Time.h"
#include "peridotspool/gateway/Customer.h"
#include "peridotspool/gateway/QuotaFloors.h"
#include "peridotspool/gateway/QuotaLeases.h"
#include "peridotspool/gateway/QuotaMessage.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace peridotspool::gateway {

struct AddressedQuotaResponse
{
  Address mTo;
  QuotaResponse mResponse;
};

struct QuotaBounds
{
  /** A limit is held over every window of this length. */
  Duration mWindow = std::chrono::seconds(8);
  /** How far over its limit a customer may come, as a part and in units. */
  double mOvershoot = 0.1;
  double mSlack = 0.0;
};

/** What one customer was granted and refused since the last such figures. */
struct QuotaStatistics
{
  CustomerName mCustomer;
  std::uint64_t mGranted = 0;
  /** Of mGranted, for no request in particular. */
  std::uint64_t mPrefetched = 0;
  std::uint64_t mRefused = 0;
  double mBalance = 0.0;
  double mMaxBalance = 0.0;
};

/**
 * The customers' limits, kept by the control leader for all entries.
 *
 * The units that a customer may still use, wherever they are kept, never exceed
 * what its account may hold: the balance here, stock at entries, and what
 * entries without a lease may have saved of their own parts. They grow by the
 * limit's rate, here or there, but not at both. So no window of any length lets
 * more through than a full account and the rate over that window, whoever is
 * lost. A new leader begins with the committed floors: no earlier one let a
 * balance fall below its floor.
 *
 * A pure step. Not thread-safe.
 */
class QuotaAllocator
{
public:
  /** @param aAllocatorId names this time in the lead; random */
  QuotaAllocator(QuotaBounds aBounds,
                 std::uint64_t aAllocatorId,
                 std::uint64_t aTerm,
                 QuotaFloors aCommitted,
                 TimePoint aNow);

  /** Takes the customers' limits of the newest settings. */
  void SetCustomers(const std::vector<Customer>& aCustomers, TimePoint aNow);
  /** Takes the members of the newest epoch. */
  void SetEntries(const std::vector<Address>& aEntries, TimePoint aNow);
  /** Takes the newest committed floors; returns true iff they are new. */
  bool ApplyCommittedFloors(const QuotaFloors& aCommitted);
  /** Takes an entry's report; returns its next lease. */
  QuotaLease Renew(const Address& aEntry,
                   const QuotaLease& aHeld,
                   TimePoint aNow);
  /** Leaves out what waits; see TakeDeferredResponses. */
  QuotaResponse HandleRequest(const Address& aFrom,
                              const QuotaRequest& aRequest,
                              TimePoint aNow);
  /**
   * Answers to what waited for a floor to be committed, or for entries to
   * confirm a new leader's leases, whether that has come or not in time.
   */
  std::vector<AddressedQuotaResponse> TakeDeferredResponses(TimePoint aNow);
  /** At least ten times a second, and after Ask: floors to be committed. */
  std::optional<QuotaFloors> ProposeFloors(TimePoint aNow);

  bool HasLimits() const { return !mAccounts.empty(); }
  /** Customers that were refused something since the last call. */
  std::vector<QuotaStatistics> TakeStatistics();
  /** The part of the limits' rate that is given here. */
  double LeaderShare() const { return 1.0 - mLeases.FallbackShare(); }
  const QuotaLeases& Leases() const { return mLeases; }

private:
  struct DeferredItem
  {
    Address mFrom;
    QuotaRequestItem mItem;
    TimePoint mDeferredAt;
  };
  struct PrefetchedLot
  {
    TimePoint mExpiresAt;
    double mUnits = 0.0;
  };
  struct Account
  {
    double mRate = 0.0;
    double mMaxBalance = 0.0;
    double mBalance = 0.0;
    /** mFlow up to which mBalance has grown. */
    double mCreditedSeconds = 0.0;
    /** The highest floor that may be committed. */
    double mFloor = 0.0;
    std::deque<PrefetchedLot> mPrefetched;
    double mPrefetchedUnits = 0.0;
    /** Units of the largest request that waits for a lower floor. */
    double mLargestDeferred = 0.0;
    /** Set while the settings don't name the customer. */
    std::optional<TimePoint> mRemovedAt;
    QuotaStatistics mStatistics;
  };

  double MaxBalanceOf(const Customer& aCustomer) const;
  double CommittedFloor(const CustomerName& aCustomer,
                        const Account& aAccount) const;
  void Advance(TimePoint aNow);
  void AdvanceInSteps(TimePoint aNow);
  void Accrue(Account& aAccount, TimePoint aNow) const;
  void AddUnits(Account& aAccount, double aUnits, TimePoint aNow) const;
  void ApplyReturn(const QuotaReturn& aReturn, TimePoint aNow);
  QuotaResponse MakeResponse(TimePoint aNow) const;
  /** Unset: it waits, see TakeDeferredResponses. */
  std::optional<QuotaResponseItem> Evaluate(const QuotaRequestItem& aItem,
                                            TimePoint aNow);
  QuotaResponseItem Grant(Account& aAccount,
                          const QuotaRequestItem& aItem,
                          TimePoint aNow);
  QuotaResponseItem Refuse(Account& aAccount,
                           const QuotaRequestItem& aItem) const;
  double ReservedUnits(const Account& aAccount,
                       const QuotaRequestItem& aItem) const;
  bool IsLow(const Account& aAccount) const;
  bool IsHigh(const Account& aAccount) const;

  QuotaBounds mBounds;
  std::uint64_t mAllocatorId;
  QuotaLeases mLeases;
  QuotaFloors mCommitted;
  /** The newest floors that were given out to be committed. */
  QuotaFloors mProposed;
  TimePoint mProposedAt;
  TimePoint mScannedAt;
  bool mNeedsLowerFloors = false;
  TimePoint mStartedAt;
  /** Seconds of each limit's rate that were given here. */
  double mAccruedSeconds = 0.0;
  TimePoint mAccruedAt;
  std::unordered_map<CustomerName, Account> mAccounts;
  std::deque<DeferredItem> mDeferred;
};

} // namespace peridotspool::gateway
