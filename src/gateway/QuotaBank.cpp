#include "peridotspool/gateway/QuotaBank.h"

#include "peridotspool/gateway/QuotaTiming.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace peridotspool::gateway {

namespace {

/** Requests take some time to arrive; a part of the slack is left for that. */
constexpr double kSlackPart = 0.6;
/** The floor of an account without a committed one, as a part of the most. */
constexpr double kImpliedFloor = 0.75;
/** Floors are committed so far below the balance... */
constexpr double kFloorMargin = 0.25;
/** ...lower ones when so little is left above the floor... */
constexpr double kLowMargin = 0.125;
/** ...and higher ones when it has grown this far above it. */
constexpr double kHighMargin = 0.5;
/** Stock is given only while this part of an account is left. */
constexpr double kStockFrom = 0.6;
/** All entries' stock of a customer together, as a part of the most. */
constexpr double kMostStock = 0.125;
constexpr Duration kFlowStep = std::chrono::milliseconds(10);
/** What a leader that stood still for longer did not see is not given. */
constexpr Duration kLongestStep = std::chrono::milliseconds(300);
constexpr Duration kScanPeriod = std::chrono::seconds(1);
/** Floors that were not committed in this time are proposed again. */
constexpr Duration kCommitTimeout = std::chrono::milliseconds(500);
/** How long an account outlasts its customer's removal. */
constexpr Duration kKeptFor = std::chrono::seconds(10);
/** A request waits this long for a lower floor, and for entries to confirm a
 * new leader's leases; entries wait for longer. */
constexpr Duration kHeldFor = std::chrono::milliseconds(300);
constexpr std::size_t kMostHeld = 4096;
constexpr Duration kCommitSoon = std::chrono::milliseconds(50);
constexpr Duration kLongestWait = std::chrono::seconds(10);

std::uint32_t
ToMilliseconds(Duration aDuration)
{
  return static_cast<std::uint32_t>(
    std::chrono::ceil<std::chrono::milliseconds>(aDuration).count());
}

} // namespace

QuotaBank::QuotaBank(QuotaBounds aBounds,
                     std::uint64_t aGrantor,
                     std::uint64_t aTerm,
                     QuotaFloors aCommitted,
                     TimePoint aNow)
  : mBounds(aBounds)
  , mGrantor(aGrantor)
  , mLeases(aGrantor, aTerm)
  , mCommitted(std::move(aCommitted))
  , mProposed(mCommitted)
  , mBeganAt(aNow)
  , mFlowAt(aNow)
{
}

// As large as the allowed overshoot leaves room for: a smaller account would
// refuse a customer that is below its limit and asks unevenly.
double
QuotaBank::MostOf(const Customer& aCustomer) const
{
  const double limit =
    aCustomer.mRatePerSecond * ToSeconds(mBounds.mWindow) + aCustomer.mBurst;
  return std::max(1.0,
                  aCustomer.mBurst + mBounds.mOvershoot * limit +
                    kSlackPart * mBounds.mSlack);
}

double
QuotaBank::CommittedFloor(const CustomerName& aCustomer,
                          const Account& aAccount) const
{
  const auto listed = mCommitted.mUnits.find(aCustomer);
  const double floor = listed == mCommitted.mUnits.end()
                         ? kImpliedFloor * aAccount.mMost
                         : static_cast<double>(listed->second);
  return std::min(floor, aAccount.mMost);
}

// A customer that is removed may come back: its account would begin anew.
void
QuotaBank::Use(const std::vector<Customer>& aCustomers, TimePoint aNow)
{
  Advance(aNow);
  for (auto& [name, account] : mAccounts) {
    Grow(account, aNow);
    account.mRemovedAt = account.mRemovedAt.value_or(aNow);
  }
  for (const Customer& customer : aCustomers) {
    if (customer.mRatePerSecond <= 0.0) {
      continue;
    }
    const auto [place, added] = mAccounts.try_emplace(customer.mName);
    Account& account = place->second;
    account.mRemovedAt.reset();
    account.mRate = customer.mRatePerSecond;
    account.mMost = MostOf(customer);
    const double floor = CommittedFloor(customer.mName, account);
    account.mFloor = added ? floor : std::min(account.mFloor, account.mMost);
    account.mBalance =
      std::min(added ? floor : account.mBalance, account.mMost);
    account.mFlowAt = mFlow;
  }
}

void
QuotaBank::UseEntries(const std::vector<Address>& aEntries, TimePoint aNow)
{
  Advance(aNow);
  mLeases.UseEntries(aEntries, aNow);
  mLeases.Advance(aNow + kFlowStep);
}

bool
QuotaBank::TakeCommitted(const QuotaFloors& aCommitted)
{
  if (aCommitted.mNumber == mCommitted.mNumber) {
    return false;
  }
  mCommitted = aCommitted;
  const bool settled = mCommitted.mNumber >= mProposed.mNumber;
  for (auto& [name, account] : mAccounts) {
    const double floor = CommittedFloor(name, account);
    account.mFloor = settled ? floor : std::max(account.mFloor, floor);
  }
  return true;
}

QuotaLease
QuotaBank::Renew(const Address& aEntry, const QuotaLease& aHeld, TimePoint aNow)
{
  // What the entry used until now must be left out before it is covered.
  if (!mLeases.Covers(aEntry, aNow)) {
    Advance(aNow);
  }
  return mLeases.Renew(aEntry, aHeld, aNow);
}

void
QuotaBank::Advance(TimePoint aNow)
{
  const Duration since = aNow - mFlowAt;
  if (since <= Duration(0)) {
    return;
  }
  mFlowAt = aNow;
  mLeases.Advance(aNow + kFlowStep);
  if (since <= kLongestStep) {
    mFlow += ToSeconds(since) * FlowPart();
  }
}

/** Walks over all entries only so often; an account may grow a step late. */
void
QuotaBank::AdvanceInSteps(TimePoint aNow)
{
  if (aNow - mFlowAt >= kFlowStep) {
    Advance(aNow);
  }
}

void
QuotaBank::Grow(Account& aAccount, TimePoint aNow) const
{
  while (!aAccount.mStock.empty() &&
         aAccount.mStock.front().mLapsesAt <= aNow) {
    aAccount.mStockUnits -= aAccount.mStock.front().mUnits;
    aAccount.mStock.pop_front();
  }
  Add(aAccount, aAccount.mRate * (mFlow - aAccount.mFlowAt), aNow);
  aAccount.mFlowAt = mFlow;
}

void
QuotaBank::Add(Account& aAccount, double aUnits, TimePoint aNow) const
{
  // An earlier leader's stock may still be out.
  const double earlier =
    aNow - mBeganAt < 2 * kStockFor ? kMostStock * aAccount.mMost : 0.0;
  const double room = aAccount.mMost - std::max(earlier, aAccount.mStockUnits);
  aAccount.mBalance =
    std::max(aAccount.mBalance, std::min(aAccount.mBalance + aUnits, room));
}

QuotaGrant
QuotaBank::MakeGrant(TimePoint aNow) const
{
  return { .mVerdicts = {},
           .mGrantor = mGrantor,
           .mGrantedAt = aNow.time_since_epoch().count() };
}

QuotaGrant
QuotaBank::Ask(const Address& aFrom, const QuotaAsk& aAsk, TimePoint aNow)
{
  AdvanceInSteps(aNow);
  for (const QuotaReturn& one : aAsk.mReturns) {
    TakeReturn(one, aNow);
  }
  QuotaGrant grant = MakeGrant(aNow);
  for (const QuotaLine& line : aAsk.mLines) {
    if (auto verdict = Judge(line, aNow)) {
      grant.mVerdicts.push_back(std::move(*verdict));
    } else if (mHeld.size() < kMostHeld) {
      mHeld.push_back({ .mFrom = aFrom, .mLine = line, .mSince = aNow });
    } else {
      grant.mVerdicts.push_back(Refuse(mAccounts.at(line.mCustomer), line));
    }
  }
  return grant;
}

std::vector<QuotaAnswerTo>
QuotaBank::TakeAnswered(TimePoint aNow)
{
  std::vector<QuotaAnswerTo> answers;
  for (Held& held : std::exchange(mHeld, {})) {
    auto verdict = Judge(held.mLine, aNow);
    if (!verdict && aNow - held.mSince < kHeldFor) {
      mHeld.push_back(std::move(held));
      continue;
    }
    QuotaGrant grant = MakeGrant(aNow);
    grant.mVerdicts.push_back(
      verdict ? std::move(*verdict)
              : Refuse(mAccounts.at(held.mLine.mCustomer), held.mLine));
    answers.push_back({ .mTo = held.mFrom, .mGrant = std::move(grant) });
  }
  return answers;
}

// Meanwhile the account may have grown in place of what was granted; only what
// it can't have grown by is put back.
void
QuotaBank::TakeReturn(const QuotaReturn& aReturn, TimePoint aNow)
{
  const auto found = mAccounts.find(aReturn.mCustomer);
  if (aReturn.mGrantor != mGrantor || found == mAccounts.end()) {
    return;
  }
  Account& account = found->second;
  Grow(account, aNow);
  const TimePoint grantedAt{ Duration(aReturn.mGrantedAt) };
  const double gained =
    account.mRate * ToSeconds(std::max(Duration(0), aNow - grantedAt));
  Add(account, static_cast<double>(aReturn.mUnits) - gained, aNow);
}

/** The balance that has to be left, apart from the floor. */
double
QuotaBank::Kept(const Account& aAccount, const QuotaLine& aLine) const
{
  const double own = mLeases.OwnSaved() * aAccount.mRate;
  return aLine.mStock ? own + kStockFrom * aAccount.mMost : own;
}

std::optional<QuotaVerdict>
QuotaBank::Judge(const QuotaLine& aLine, TimePoint aNow)
{
  const auto found = mAccounts.find(aLine.mCustomer);
  if (found == mAccounts.end()) {
    return QuotaVerdict{ .mLine = aLine,
                         .mComeBackMs = ToMilliseconds(kCommitSoon) };
  }
  Account& account = found->second;
  Grow(account, aNow);
  const auto units = static_cast<double>(aLine.mUnits);
  const double left = account.mBalance - units;
  const bool roomForStock =
    !aLine.mStock || account.mStockUnits + units <= kMostStock * account.mMost;
  if (left < Kept(account, aLine) || !roomForStock) {
    const bool coversSoon = left >= 0.0 && aNow - mBeganAt < kHeldFor;
    return coversSoon && !aLine.mStock ? std::nullopt
                                       : std::optional(Refuse(account, aLine));
  }
  if (left >= account.mFloor) {
    return Grant(account, aLine, aNow);
  }
  if (aLine.mStock) {
    return Refuse(account, aLine);
  }
  account.mWanted = std::max(account.mWanted, units);
  mLow = true;
  return std::nullopt;
}

QuotaVerdict
QuotaBank::Grant(Account& aAccount, const QuotaLine& aLine, TimePoint aNow)
{
  const auto units = static_cast<double>(aLine.mUnits);
  aAccount.mBalance -= units;
  aAccount.mFigures.mGranted += aLine.mUnits;
  if (aLine.mStock) {
    aAccount.mFigures.mStock += aLine.mUnits;
    aAccount.mStock.push_back(
      { .mLapsesAt = aNow + kStockFor + kFlowStep, .mUnits = units });
    aAccount.mStockUnits += units;
  }
  mLow = mLow || IsLow(aAccount);
  return { .mLine = aLine, .mGranted = true };
}

QuotaVerdict
QuotaBank::Refuse(Account& aAccount, const QuotaLine& aLine) const
{
  if (aLine.mStock) {
    return { .mLine = aLine };
  }
  aAccount.mFigures.mRefused += aLine.mUnits;
  const auto units = static_cast<double>(aLine.mUnits);
  const double missing = units + Kept(aAccount, aLine) - aAccount.mBalance;
  const Duration wait(
    static_cast<Duration::rep>(std::max(0.0, missing / aAccount.mRate) * 1e6));
  return { .mLine = aLine,
           .mComeBackMs =
             units > aAccount.mMost
               ? ToMilliseconds(kLongestWait)
               : ToMilliseconds(std::clamp(wait, kCommitSoon, kLongestWait)) };
}

bool
QuotaBank::IsLow(const Account& aAccount) const
{
  return aAccount.mFloor > 0.0 &&
         (aAccount.mWanted > 0.0 ||
          aAccount.mBalance - aAccount.mFloor < kLowMargin * aAccount.mMost);
}

bool
QuotaBank::IsHigh(const Account& aAccount) const
{
  const double implied = kImpliedFloor * aAccount.mMost;
  return aAccount.mFloor < implied &&
         (aAccount.mBalance - aAccount.mFloor > kHighMargin * aAccount.mMost ||
          aAccount.mBalance - kFloorMargin * aAccount.mMost >= implied);
}

// A proposal may be committed at any later time, also by another leader: until
// it is, the higher of the two floors holds here.
std::optional<QuotaFloors>
QuotaBank::Due(TimePoint aNow)
{
  AdvanceInSteps(aNow);
  const bool underWay = mCommitted.mNumber < mProposed.mNumber &&
                        aNow - mProposedAt < kCommitTimeout;
  if (underWay || (!mLow && aNow - mScannedAt < kScanPeriod)) {
    return std::nullopt;
  }
  mScannedAt = aNow;
  mLow = false;
  std::erase_if(mAccounts, [&](const auto& aPair) {
    return aPair.second.mRemovedAt &&
           aNow - *aPair.second.mRemovedAt > kKeptFor;
  });
  QuotaFloors next{ .mNumber =
                      std::max(mCommitted.mNumber, mProposed.mNumber) + 1 };
  bool changed = false;
  for (auto& [name, account] : mAccounts) {
    Grow(account, aNow);
    double floor = account.mFloor;
    if (IsLow(account) || IsHigh(account)) {
      const double margin =
        std::max(kFloorMargin * account.mMost, 2 * account.mWanted);
      account.mWanted = 0.0;
      floor = std::max(0.0, account.mBalance - margin);
      changed = changed || floor != account.mFloor;
    }
    if (floor < kImpliedFloor * account.mMost) {
      next.mUnits.emplace(name, static_cast<std::uint64_t>(floor));
    }
  }
  if (!changed) {
    return std::nullopt;
  }
  for (auto& [name, account] : mAccounts) {
    const auto listed = next.mUnits.find(name);
    const double floor = listed == next.mUnits.end()
                           ? kImpliedFloor * account.mMost
                           : static_cast<double>(listed->second);
    account.mFloor = std::max(account.mFloor, floor);
  }
  mProposed = next;
  mProposedAt = aNow;
  return next;
}

std::vector<QuotaFigures>
QuotaBank::UpdateStats()
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

} // namespace peridotspool::gateway
