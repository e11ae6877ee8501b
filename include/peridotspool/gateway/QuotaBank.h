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

struct QuotaAnswerTo
{
  Address mTo;
  QuotaGrant mGrant;
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
struct QuotaFigures
{
  CustomerName mCustomer;
  std::uint64_t mGranted = 0;
  /** Of mGranted, for no request in particular. */
  std::uint64_t mStock = 0;
  std::uint64_t mRefused = 0;
  double mBalance = 0.0;
  double mMost = 0.0;
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
class QuotaBank
{
public:
  /** @param aGrantor names this time in the lead; random */
  QuotaBank(QuotaBounds aBounds,
            std::uint64_t aGrantor,
            std::uint64_t aTerm,
            QuotaFloors aCommitted,
            TimePoint aNow);

  /** Takes the customers' limits of the newest settings. */
  void Use(const std::vector<Customer>& aCustomers, TimePoint aNow);
  /** Takes the members of the newest epoch. */
  void UseEntries(const std::vector<Address>& aEntries, TimePoint aNow);
  /** Takes the newest committed floors; returns true iff they are new. */
  bool TakeCommitted(const QuotaFloors& aCommitted);
  /** Takes an entry's report; returns its next lease. */
  QuotaLease Renew(const Address& aEntry,
                   const QuotaLease& aHeld,
                   TimePoint aNow);
  /** Leaves out what waits; see TakeAnswered. */
  QuotaGrant Ask(const Address& aFrom, const QuotaAsk& aAsk, TimePoint aNow);
  /**
   * Answers to what waited for a floor to be committed, or for entries to
   * confirm a new leader's leases, whether that has come or not in time.
   */
  std::vector<QuotaAnswerTo> TakeAnswered(TimePoint aNow);
  /** At least ten times a second, and after Ask: floors to be committed. */
  std::optional<QuotaFloors> Due(TimePoint aNow);

  bool HasLimits() const { return !mAccounts.empty(); }
  /** Customers that were refused something since the last call. */
  std::vector<QuotaFigures> UpdateStats();
  /** The part of the limits' rate that is given here. */
  double FlowPart() const { return 1.0 - mLeases.OwnPart(); }
  const QuotaLeases& Leases() const { return mLeases; }

private:
  struct Held
  {
    Address mFrom;
    QuotaLine mLine;
    TimePoint mSince;
  };
  struct Stock
  {
    TimePoint mLapsesAt;
    double mUnits = 0.0;
  };
  struct Account
  {
    double mRate = 0.0;
    double mMost = 0.0;
    double mBalance = 0.0;
    /** mFlow up to which mBalance has grown. */
    double mFlowAt = 0.0;
    /** The highest floor that may be committed. */
    double mFloor = 0.0;
    std::deque<Stock> mStock;
    double mStockUnits = 0.0;
    /** Units of the largest request that waits for a lower floor. */
    double mWanted = 0.0;
    /** Set while the settings don't name the customer. */
    std::optional<TimePoint> mRemovedAt;
    QuotaFigures mFigures;
  };

  double MostOf(const Customer& aCustomer) const;
  double CommittedFloor(const CustomerName& aCustomer,
                        const Account& aAccount) const;
  void Advance(TimePoint aNow);
  void AdvanceInSteps(TimePoint aNow);
  void Grow(Account& aAccount, TimePoint aNow) const;
  void Add(Account& aAccount, double aUnits, TimePoint aNow) const;
  void TakeReturn(const QuotaReturn& aReturn, TimePoint aNow);
  QuotaGrant MakeGrant(TimePoint aNow) const;
  /** Unset: it waits, see TakeAnswered. */
  std::optional<QuotaVerdict> Judge(const QuotaLine& aLine, TimePoint aNow);
  QuotaVerdict Grant(Account& aAccount, const QuotaLine& aLine, TimePoint aNow);
  QuotaVerdict Refuse(Account& aAccount, const QuotaLine& aLine) const;
  double Kept(const Account& aAccount, const QuotaLine& aLine) const;
  bool IsLow(const Account& aAccount) const;
  bool IsHigh(const Account& aAccount) const;

  QuotaBounds mBounds;
  std::uint64_t mGrantor;
  QuotaLeases mLeases;
  QuotaFloors mCommitted;
  /** The newest floors that were given out to be committed. */
  QuotaFloors mProposed;
  TimePoint mProposedAt;
  TimePoint mScannedAt;
  bool mLow = false;
  TimePoint mBeganAt;
  /** Seconds of each limit's rate that were given here. */
  double mFlow = 0.0;
  TimePoint mFlowAt;
  std::unordered_map<CustomerName, Account> mAccounts;
  std::deque<Held> mHeld;
};

} // namespace peridotspool::gateway
