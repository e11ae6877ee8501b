#include "peridotspool/gateway/QuotaBank.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace peridotspool::gateway {

namespace {

/** Parts of the limit that entries may use on their own; see QuotaGate. */
constexpr double kEntriesOwn = 1.0 / 6.0;
/** A part of the slack is left for requests that take long to arrive. */
constexpr double kSlackPart = 0.6;
constexpr double kLeastPart = 0.4;
/** The part of the slack that a new leader's accounts begin with. */
constexpr double kFreshPart = 0.25;
/** Stock is given only while this part of an account is left. */
constexpr double kStockFrom = 0.6;

double
Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

QuotaBank::QuotaBank(QuotaBounds aBounds)
  : mBounds(aBounds)
{
}

// In every window a customer gets at most what its account holds at first, what
// flows in, and what entries that are cut off use on their own. The account is
// as large as the allowed overshoot leaves room for: a smaller one would refuse
// a customer that is below its limit and asks unevenly.
double
QuotaBank::MostOf(const Customer& aCustomer) const
{
  const double window = Seconds(mBounds.mWindow);
  const double flow = aCustomer.mRatePerSecond * window;
  const double limit = flow + aCustomer.mBurst;
  const double room = aCustomer.mBurst + mBounds.mOvershoot * limit +
                      kSlackPart * mBounds.mSlack - kEntriesOwn * flow;
  return std::max(room, kLeastPart * aCustomer.mBurst);
}

void
QuotaBank::Use(const std::vector<Customer>& aCustomers, TimePoint aNow)
{
  std::unordered_map<CustomerName, Account> accounts;
  for (const Customer& customer : aCustomers) {
    if (customer.mRatePerSecond <= 0.0) {
      continue;
    }
    Account account{ .mRate = customer.mRatePerSecond,
                     .mMost = MostOf(customer),
                     .mAt = aNow };
    const auto known = mAccounts.find(customer.mName);
    const double balance =
      known == mAccounts.end() ? Fresh() : known->second.mBalance;
    account.mBalance = std::min(account.mMost, balance);
    accounts.emplace(customer.mName, account);
  }
  mAccounts = std::move(accounts);
}

// A new leader does not know what was taken lately: it may have been all but
// the part of the slack that full accounts leave. Beginning with nothing would
// refuse customers that are below their limits.
double
QuotaBank::Fresh() const
{
  return kFreshPart * mBounds.mSlack;
}

// The account leaves room for a few entries that go on by themselves. What more
// of them take is left out of what the others get.
void
QuotaBank::UseSilent(std::size_t aSilent, std::size_t aEntries)
{
  const double own = static_cast<double>(aSilent) /
                     static_cast<double>(std::max<std::size_t>(1, aEntries));
  mFlowPart = 1.0 - std::clamp(own - kEntriesOwn, 0.0, 1.0);
}

std::vector<QuotaFigures>
QuotaBank::TakeFigures()
{
  std::vector<QuotaFigures> figures;
  for (auto& [name, account] : mAccounts) {
    QuotaFigures one = std::exchange(account.mFigures, {});
    if (one.mRefused > 0) {
      one.mCustomer = name;
      one.mBalance = account.mBalance;
      one.mMost = account.mMost;
      figures.push_back(std::move(one));
    }
  }
  return figures;
}

QuotaGrant
QuotaBank::Ask(const QuotaAsk& aAsk, TimePoint aNow)
{
  QuotaGrant grant;
  for (const QuotaLine& line : aAsk.mLines) {
    grant.mVerdicts.push_back(Judge(line, aNow));
  }
  return grant;
}

QuotaVerdict
QuotaBank::Judge(const QuotaLine& aLine, TimePoint aNow)
{
  const auto found = mAccounts.find(aLine.mCustomer);
  if (found == mAccounts.end()) {
    return { .mLine = aLine, .mGranted = true };
  }
  Account& account = found->second;
  const double since = Seconds(std::max(Duration(0), aNow - account.mAt));
  account.mBalance = std::min(
    account.mMost, account.mBalance + account.mRate * mFlowPart * since);
  account.mAt = aNow;
  const auto units = static_cast<double>(aLine.mUnits);
  // A request larger than the account would otherwise never be granted.
  double needed = std::min(units, account.mMost / 2);
  if (aLine.mTag == 0) {
    needed = units + kStockFrom * account.mMost;
  }
  if (account.mBalance >= needed) {
    account.mBalance -= units;
    account.mFigures.mGranted += aLine.mUnits;
    account.mFigures.mStock += aLine.mTag == 0 ? aLine.mUnits : 0;
    return { .mLine = aLine, .mGranted = true };
  }
  account.mFigures.mRefused += aLine.mTag == 0 ? 0 : aLine.mUnits;
  const double wait = (needed - account.mBalance) / account.mRate;
  return { .mLine = aLine,
           .mGranted = false,
           .mComeBackMs = static_cast<std::uint32_t>(
             std::min(10000.0, std::ceil(wait * 1000.0))) };
}

} // namespace peridotspool::gateway
