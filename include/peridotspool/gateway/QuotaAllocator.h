#pragma once

#include "peridotspool/base/Address.h"
#include "peridotspool/base/Time.h"
#include "peridotspool/gateway/Customer.h"
#include "peridotspool/gateway/QuotaFloors.h"
#include "peridotspool/gateway/QuotaLeases.h"
#include "peridotspool/gateway/QuotaMessage.h"
#include "peridotspool/limits/QuotaQueue.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace peridotspool::gateway {

/** A deferred response and the entry that it is sent to. */
struct AddressedQuotaResponse
{
  Address mTo;
  QuotaResponse mResponse;
};

/** How strictly limits are enforced. */
struct QuotaBounds
{
  /** Limits hold over every window of this length. */
  Duration mWindow = std::chrono::seconds(8);
  /** Tolerated excess over the limit, as a fraction of it. */
  double mOvershoot = 0.1;
  /** Further tolerated excess, in units. */
  double mSlack = 0.0;
};

/** Units granted and refused to a customer since the previous statistics. */
struct QuotaStatistics
{
  CustomerName mCustomer;
  std::uint64_t mGranted = 0;
  /** The part of mGranted that entries prefetched. */
  std::uint64_t mPrefetched = 0;
  std::uint64_t mRefused = 0;
  double mBalance = 0.0;
  double mMaxBalance = 0.0;
};

/**
 * Enforces the customers' limits for all entries; runs on the control leader.
 *
 * Each customer has an account. Its unused units are the balance here, the
 * units that entries have prefetched, and the units that entries without a
 * lease may have accrued from their fallback shares. Their sum never exceeds
 * the account's maximum balance. Units accrue at the limit's rate, and each
 * part of that rate accrues either here or at an entry, never at both. A window
 * of any length therefore admits at most a full account plus the rate over that
 * window, whichever processes fail.
 *
 * A new leader starts each balance at its committed floor. No earlier leader
 * granted below that floor, so none of these units has been granted before.
 *
 * Does no I/O and reads no clock. Not thread-safe.
 */
class QuotaAllocator
{
public:
  /** @param aAllocatorId random; identifies this leadership */
  QuotaAllocator(QuotaBounds aBounds,
                 std::uint64_t aAllocatorId,
                 std::uint64_t aTerm,
                 QuotaFloors aCommitted,
                 TimePoint aNow);

  /** Applies the customers' limits of the newest settings. */
  void SetCustomers(const std::vector<Customer>& aCustomers, TimePoint aNow);
  /** Sets the members of the newest epoch. */
  void SetEntries(const std::vector<Address>& aEntries, TimePoint aNow);
  /** Applies the newest committed floors; returns true iff they changed. */
  bool ApplyCommittedFloors(const QuotaFloors& aCommitted);
  /** Processes the lease that an entry reports; returns its next lease. */
  QuotaLease Renew(const Address& aEntry,
                   const QuotaLease& aHeld,
                   TimePoint aNow);
  /** Omits deferred items from the response; see TakeDeferredResponses. */
  QuotaResponse HandleRequest(const Address& aFrom,
                              const QuotaRequest& aRequest,
                              TimePoint aNow);
  /**
   * Returns responses to deferred items. An item is deferred until a lower
   * floor is committed or entries have confirmed a new leader's leases, and
   * refused if that takes too long.
   */
  std::vector<AddressedQuotaResponse> TakeDeferredResponses(TimePoint aNow);
  /** Grants and refuses queued items as of now; call every 10 ms while there
   * are any, and after limits have changed. */
  std::vector<AddressedQuotaResponse> ServeQueues(TimePoint aNow);
  /** Returns responses to queued items that a request of another entry has
   * caused. */
  std::vector<AddressedQuotaResponse> TakeQueueResponses();
  /** Returns the number of items that wait in the customers' queues. */
  std::size_t QueuedItems() const { return mQueued; }
  /**
   * Returns floors to commit to the control log, if any. Call at least ten
   * times a second and after each HandleRequest.
   */
  std::optional<QuotaFloors> ProposeFloors(TimePoint aNow);

  bool HasLimits() const { return !mAccounts.empty(); }
  /** Returns the customers with refused units since the last call. */
  std::vector<QuotaStatistics> TakeStatistics();
  /** Returns the fraction of each limit's rate that accrues here. */
  double LeaderShare() const { return 1.0 - mLeases.FallbackShare(); }
  const QuotaLeases& Leases() const { return mLeases; }

private:
  /** A request item that is neither granted nor refused yet. */
  struct DeferredItem
  {
    Address mFrom;
    QuotaRequestItem mItem;
    TimePoint mDeferredAt;
  };
  /** Prefetched units that an entry may still hold. */
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
    /** The value of mAccruedSeconds that mBalance includes. */
    double mCreditedSeconds = 0.0;
    /** The highest floor that may be committed at present. */
    double mFloor = 0.0;
    std::deque<PrefetchedLot> mPrefetched;
    /** The sum over mPrefetched. */
    double mPrefetchedUnits = 0.0;
    /** Units of the largest request that is deferred for a lower floor. */
    double mLargestDeferred = 0.0;
    /** Set while the settings don't contain the customer. */
    std::optional<TimePoint> mRemovedAt;
    QuotaStatistics mStatistics;
    /** Null until a request of the customer may wait. */
    std::unique_ptr<limits::QuotaQueue> mQueue;
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
  /** Returns empty if the item has to be deferred. */
  std::optional<QuotaResponseItem> Evaluate(const QuotaRequestItem& aItem,
                                            TimePoint aNow);
  /** Decides on an item that may wait, or queues it. */
  QuotaResponseItem EvaluateWaiting(const Address& aFrom,
                                    const QuotaRequestItem& aItem,
                                    Account& aAccount,
                                    TimePoint aNow);
  /** Returns true iff the queue lets the item take its units now. */
  bool MayPassQueue(Account& aAccount,
                    const QuotaRequestItem& aItem,
                    TimePoint aNow) const;
  QuotaResponseItem RefuseBehindQueue(Account& aAccount,
                                      const QuotaRequestItem& aItem,
                                      TimePoint aNow) const;
  limits::QuotaSupply SupplyOf(const Account& aAccount, TimePoint aNow) const;
  bool CanGrantHead(Account& aAccount);
  void ServeQueue(const CustomerName& aCustomer,
                  Account& aAccount,
                  TimePoint aNow);
  void RespondToQueued(const Address& aTo,
                       QuotaResponseItem aResult,
                       TimePoint aNow);
  void CancelQueued(const Address& aFrom, std::uint64_t aTag);
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
  /** The newest floors that ProposeFloors returned. */
  QuotaFloors mProposed;
  TimePoint mProposedAt;
  TimePoint mScannedAt;
  bool mNeedsLowerFloors = false;
  TimePoint mStartedAt;
  /** Seconds of each limit's rate that have accrued here. */
  double mAccruedSeconds = 0.0;
  TimePoint mAccruedAt;
  std::unordered_map<CustomerName, Account> mAccounts;
  std::deque<DeferredItem> mDeferred;
  /** The number of items in all queues. */
  std::size_t mQueued = 0;
  std::vector<AddressedQuotaResponse> mQueueResponses;
};

} // namespace peridotspool::gateway
