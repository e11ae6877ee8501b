#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/gateway/Customer.h"
#include "peridotspool/gateway/SharedMessage.h"

#include <unordered_map>
#include <vector>

namespace peridotspool::gateway {

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

struct QuotaBounds
{
  /** A limit is held over every window of this length. */
  Duration mWindow = std::chrono::seconds(8);
  /** How far over its limit a customer may come, as a part and in units. */
  double mOvershoot = 0.1;
  double mSlack = 0.0;
};

/**
 * The customers' limits, kept in one place for all entries: each request's
 * units are taken here before it is sent. Lives on the control leader and
 * begins anew, empty, with each one.
 *
 * A pure step. Not thread-safe.
 */
class QuotaBank
{
public:
  explicit QuotaBank(QuotaBounds aBounds);

  /** Takes the customers' limits of the newest settings. */
  void Use(const std::vector<Customer>& aCustomers, TimePoint aNow);
  /** Says how many of the entries can't be heard, and go on by themselves. */
  void UseSilent(std::size_t aSilent, std::size_t aEntries);
  QuotaGrant Ask(const QuotaAsk& aAsk, TimePoint aNow);
  /** Customers that were refused something since the last call. */
  std::vector<QuotaFigures> TakeFigures();
  /** The part of the limits' rate that is given here. */
  double FlowPart() const { return mFlowPart; }

private:
  struct Account
  {
    double mRate = 0.0;
    double mMost = 0.0;
    double mBalance = 0.0;
    TimePoint mAt;
    QuotaFigures mFigures;
  };

  double MostOf(const Customer& aCustomer) const;
  double Fresh() const;
  QuotaVerdict Judge(const QuotaLine& aLine, TimePoint aNow);

  QuotaBounds mBounds;
  /** The part of each limit's flow that is given here. */
  double mFlowPart = 1.0;
  std::unordered_map<CustomerName, Account> mAccounts;
};

} // namespace peridotspool::gateway
