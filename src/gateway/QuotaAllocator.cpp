#include "peridotspool/gateway/QuotaAllocator.h"

#include "peridotspool/gateway/QuotaTiming.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace peridotspool::gateway {

namespace {

/** The rest of the slack is reserved for the time that requests take to
 * arrive. */
constexpr double kUsableSlackFraction = 0.6;
// Fractions of an account's maximum balance.

/** The floor of an account without a committed one. */
constexpr double kDefaultFloorFraction = 0.75;
/** Floors are proposed this far below the balance. */
constexpr double kFloorMarginFraction = 0.25;
/** A lower floor is proposed when the balance is closer than this to the
 * current one. */
constexpr double kLowMarginFraction = 0.125;
/** A higher floor is proposed when the balance is further than this above the
 * current one. */
constexpr double kHighMarginFraction = 0.5;
/** Prefetching is granted only if this balance remains. */
constexpr double kMinPrefetchBalanceFraction = 0.6;
/** Units of a customer that all entries together may have prefetched. */
constexpr double kMaxPrefetchFraction = 0.125;
/** Balances accrue in steps of at least this length. */
constexpr Duration kAccrualStep = std::chrono::milliseconds(10);
/** A leader that was paused for longer can't know which entries used their
 * fallback shares meanwhile; nothing accrues for the pause. */
constexpr Duration kMaxAccrualStep = std::chrono::milliseconds(300);
/** Accounts are checked for new floors at least this often. */
constexpr Duration kScanPeriod = std::chrono::seconds(1);
/** Floors that are not committed within this time are proposed again. */
constexpr Duration kCommitTimeout = std::chrono::milliseconds(500);
/** How long an account is kept after its customer's removal. */
constexpr Duration kRemovedAccountRetention = std::chrono::seconds(10);
/** Further items are refused at once. */
constexpr std::size_t kMaxDeferred = 4096;
/** A lower floor is usually committed by then. */
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(50);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(10);

std::uint32_t
ToMilliseconds(Duration aDuration)
{
  return static_cast<std::uint32_t>(
    std::chrono::ceil<std::chrono::milliseconds>(aDuration).count());
}

} // namespace

QuotaAllocator::QuotaAllocator(QuotaBounds aBounds,
                               std::uint64_t aAllocatorId,
                               std::uint64_t aTerm,
                               QuotaFloors aCommitted,
                               TimePoint aNow)
  : mBounds(aBounds)
  , mAllocatorId(aAllocatorId)
  , mLeases(aAllocatorId, aTerm)
  , mCommitted(std::move(aCommitted))
  , mProposed(mCommitted)
  , mStartedAt(aNow)
  , mAccruedAt(aNow)
{
}

// The account is as large as the tolerated overshoot permits. A smaller one
// would refuse bursts of a customer that stays below its limit.
double
QuotaAllocator::MaxBalanceOf(const Customer& aCustomer) const
{
  const double limit =
    aCustomer.mRatePerSecond * ToSeconds(mBounds.mWindow) + aCustomer.mBurst;
  return std::max(1.0,
                  aCustomer.mBurst + mBounds.mOvershoot * limit +
                    kUsableSlackFraction * mBounds.mSlack);
}

double
QuotaAllocator::CommittedFloor(const CustomerName& aCustomer,
                               const Account& aAccount) const
{
  const auto listed = mCommitted.mUnits.find(aCustomer);
  const double floor = listed == mCommitted.mUnits.end()
                         ? kDefaultFloorFraction * aAccount.mMaxBalance
                         : static_cast<double>(listed->second);
  return std::min(floor, aAccount.mMaxBalance);
}

// The account of a removed customer is kept for a while. Otherwise a customer
// that is removed and added again would start with a new balance.
void
QuotaAllocator::SetCustomers(const std::vector<Customer>& aCustomers,
                             TimePoint aNow)
{
  Advance(aNow);
  for (auto& [name, account] : mAccounts) {
    Accrue(account, aNow);
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
    account.mMaxBalance = MaxBalanceOf(customer);
    const double floor = CommittedFloor(customer.mName, account);
    account.mFloor =
      added ? floor : std::min(account.mFloor, account.mMaxBalance);
    account.mBalance =
      std::min(added ? floor : account.mBalance, account.mMaxBalance);
    account.mCreditedSeconds = mAccruedSeconds;
  }
}

void
QuotaAllocator::SetEntries(const std::vector<Address>& aEntries, TimePoint aNow)
{
  Advance(aNow);
  mLeases.SetEntries(aEntries, aNow);
  mLeases.Advance(aNow + kAccrualStep);
}

bool
QuotaAllocator::ApplyCommittedFloors(const QuotaFloors& aCommitted)
{
  if (aCommitted.mNumber == mCommitted.mNumber) {
    return false;
  }
  mCommitted = aCommitted;
  const bool isLatest = mCommitted.mNumber >= mProposed.mNumber;
  for (auto& [name, account] : mAccounts) {
    const double floor = CommittedFloor(name, account);
    account.mFloor = isLatest ? floor : std::max(account.mFloor, floor);
  }
  return true;
}

QuotaLease
QuotaAllocator::Renew(const Address& aEntry,
                      const QuotaLease& aHeld,
                      TimePoint aNow)
{
  // Advance first: until now the entry may have used its fallback share, which
  // must not accrue here as well.
  if (!mLeases.IsLeased(aEntry, aNow)) {
    Advance(aNow);
  }
  return mLeases.Renew(aEntry, aHeld, aNow);
}

void
QuotaAllocator::Advance(TimePoint aNow)
{
  const Duration elapsed = aNow - mAccruedAt;
  if (elapsed <= Duration(0)) {
    return;
  }
  mAccruedAt = aNow;
  mLeases.Advance(aNow + kAccrualStep);
  if (elapsed <= kMaxAccrualStep) {
    mAccruedSeconds += ToSeconds(elapsed) * LeaderShare();
  }
}

/** Limits how often all entries are scanned; a balance may lag by one step. */
void
QuotaAllocator::AdvanceInSteps(TimePoint aNow)
{
  if (aNow - mAccruedAt >= kAccrualStep) {
    Advance(aNow);
  }
}

void
QuotaAllocator::Accrue(Account& aAccount, TimePoint aNow) const
{
  while (!aAccount.mPrefetched.empty() &&
         aAccount.mPrefetched.front().mExpiresAt <= aNow) {
    aAccount.mPrefetchedUnits -= aAccount.mPrefetched.front().mUnits;
    aAccount.mPrefetched.pop_front();
  }
  AddUnits(aAccount,
           aAccount.mRate * (mAccruedSeconds - aAccount.mCreditedSeconds),
           aNow);
  aAccount.mCreditedSeconds = mAccruedSeconds;
}

void
QuotaAllocator::AddUnits(Account& aAccount, double aUnits, TimePoint aNow) const
{
  // After a leader change, entries may still hold units that the earlier leader
  // let them prefetch.
  const double earlierPrefetch = aNow - mStartedAt < 2 * kPrefetchLifetime
                                   ? kMaxPrefetchFraction * aAccount.mMaxBalance
                                   : 0.0;
  const double room =
    aAccount.mMaxBalance - std::max(earlierPrefetch, aAccount.mPrefetchedUnits);
  aAccount.mBalance =
    std::max(aAccount.mBalance, std::min(aAccount.mBalance + aUnits, room));
}

QuotaResponse
QuotaAllocator::MakeResponse(TimePoint aNow) const
{
  return { .mResults = {},
           .mAllocatorId = mAllocatorId,
           .mGrantedAt = aNow.time_since_epoch().count() };
}

QuotaResponse
QuotaAllocator::HandleRequest(const Address& aFrom,
                              const QuotaRequest& aRequest,
                              TimePoint aNow)
{
  AdvanceInSteps(aNow);
  for (const QuotaReturn& one : aRequest.mReturns) {
    ApplyReturn(one, aNow);
  }
  for (const std::uint64_t tag : aRequest.mCancelled) {
    CancelQueued(aFrom, tag);
  }
  QuotaResponse response = MakeResponse(aNow);
  for (const QuotaRequestItem& item : aRequest.mItems) {
    const auto found = mAccounts.find(item.mCustomer);
    if (found != mAccounts.end() && item.mWait && item.mWait->mMaxWaitMs > 0) {
      response.mResults.push_back(
        EvaluateWaiting(aFrom, item, found->second, aNow));
    } else if (auto result = Evaluate(item, aNow)) {
      response.mResults.push_back(std::move(*result));
    } else if (mDeferred.size() < kMaxDeferred) {
      mDeferred.push_back(
        { .mFrom = aFrom, .mItem = item, .mDeferredAt = aNow });
    } else {
      response.mResults.push_back(Refuse(mAccounts.at(item.mCustomer), item));
    }
  }
  return response;
}

std::vector<AddressedQuotaResponse>
QuotaAllocator::TakeDeferredResponses(TimePoint aNow)
{
  std::vector<AddressedQuotaResponse> responses = ServeQueues(aNow);
  for (DeferredItem& deferred : std::exchange(mDeferred, {})) {
    auto result = Evaluate(deferred.mItem, aNow);
    if (!result && aNow - deferred.mDeferredAt < kQuotaDeferTimeout) {
      mDeferred.push_back(std::move(deferred));
      continue;
    }
    QuotaResponse response = MakeResponse(aNow);
    response.mResults.push_back(
      result ? std::move(*result)
             : Refuse(mAccounts.at(deferred.mItem.mCustomer), deferred.mItem));
    responses.push_back(
      { .mTo = deferred.mFrom, .mResponse = std::move(response) });
  }
  return responses;
}

// Since the grant, the account may have accrued units in the room that the
// grant left. Only units beyond that accrual are put back.
void
QuotaAllocator::ApplyReturn(const QuotaReturn& aReturn, TimePoint aNow)
{
  const auto found = mAccounts.find(aReturn.mCustomer);
  if (aReturn.mAllocatorId != mAllocatorId || found == mAccounts.end()) {
    return;
  }
  Account& account = found->second;
  Accrue(account, aNow);
  const TimePoint grantedAt{ Duration(aReturn.mGrantedAt) };
  const double gained =
    account.mRate * ToSeconds(std::max(Duration(0), aNow - grantedAt));
  AddUnits(account, static_cast<double>(aReturn.mUnits) - gained, aNow);
}

/** Returns the balance that must remain after the grant, besides the floor. */
double
QuotaAllocator::ReservedUnits(const Account& aAccount,
                              const QuotaRequestItem& aItem) const
{
  const double fallback = mLeases.FallbackAccrual() * aAccount.mRate;
  return aItem.mIsPrefetch
           ? fallback + kMinPrefetchBalanceFraction * aAccount.mMaxBalance
           : fallback;
}

std::optional<QuotaResponseItem>
QuotaAllocator::Evaluate(const QuotaRequestItem& aItem, TimePoint aNow)
{
  const auto found = mAccounts.find(aItem.mCustomer);
  if (found == mAccounts.end()) {
    return QuotaResponseItem{ .mItem = aItem,
                              .mRetryAfterMs = ToMilliseconds(kMinRetryAfter) };
  }
  Account& account = found->second;
  Accrue(account, aNow);
  const auto units = static_cast<double>(aItem.mUnits);
  const double remaining = account.mBalance - units;
  const bool hasPrefetchRoom =
    !aItem.mIsPrefetch || account.mPrefetchedUnits + units <=
                            kMaxPrefetchFraction * account.mMaxBalance;
  const bool mayPass = MayPassQueue(account, aItem, aNow);
  if (remaining < ReservedUnits(account, aItem) || !hasPrefetchRoom ||
      !mayPass) {
    const bool mayBeLeasedSoon =
      remaining >= 0.0 && aNow - mStartedAt < kQuotaDeferTimeout;
    return mayBeLeasedSoon && !aItem.mIsPrefetch
             ? std::nullopt
             : std::optional(mayPass ? Refuse(account, aItem)
                                     : RefuseBehindQueue(account, aItem, aNow));
  }
  if (remaining >= account.mFloor) {
    return Grant(account, aItem, aNow);
  }
  if (aItem.mIsPrefetch) {
    return Refuse(account, aItem);
  }
  account.mLargestDeferred = std::max(account.mLargestDeferred, units);
  mNeedsLowerFloors = true;
  return std::nullopt;
}

QuotaResponseItem
QuotaAllocator::Grant(Account& aAccount,
                      const QuotaRequestItem& aItem,
                      TimePoint aNow)
{
  const auto units = static_cast<double>(aItem.mUnits);
  aAccount.mBalance -= units;
  aAccount.mStatistics.mGranted += aItem.mUnits;
  if (aItem.mIsPrefetch) {
    aAccount.mStatistics.mPrefetched += aItem.mUnits;
    aAccount.mPrefetched.push_back(
      { .mExpiresAt = aNow + kPrefetchLifetime + kAccrualStep,
        .mUnits = units });
    aAccount.mPrefetchedUnits += units;
  }
  mNeedsLowerFloors = mNeedsLowerFloors || IsLow(aAccount);
  return { .mItem = aItem, .mGranted = true };
}

QuotaResponseItem
QuotaAllocator::Refuse(Account& aAccount, const QuotaRequestItem& aItem) const
{
  if (aItem.mIsPrefetch) {
    return { .mItem = aItem };
  }
  aAccount.mStatistics.mRefused += aItem.mUnits;
  const auto units = static_cast<double>(aItem.mUnits);
  const double missing =
    units + ReservedUnits(aAccount, aItem) - aAccount.mBalance;
  const Duration wait(
    static_cast<Duration::rep>(std::max(0.0, missing / aAccount.mRate) * 1e6));
  return { .mItem = aItem,
           .mRetryAfterMs = units > aAccount.mMaxBalance
                              ? ToMilliseconds(kMaxRetryAfter)
                              : ToMilliseconds(std::clamp(
                                  wait, kMinRetryAfter, kMaxRetryAfter)) };
}

bool
QuotaAllocator::IsLow(const Account& aAccount) const
{
  return aAccount.mFloor > 0.0 && (aAccount.mLargestDeferred > 0.0 ||
                                   aAccount.mBalance - aAccount.mFloor <
                                     kLowMarginFraction * aAccount.mMaxBalance);
}

bool
QuotaAllocator::IsHigh(const Account& aAccount) const
{
  const double implied = kDefaultFloorFraction * aAccount.mMaxBalance;
  return aAccount.mFloor < implied &&
         (aAccount.mBalance - aAccount.mFloor >
            kHighMarginFraction * aAccount.mMaxBalance ||
          aAccount.mBalance - kFloorMarginFraction * aAccount.mMaxBalance >=
            implied);
}

// A proposal may be committed at any later time, also by another leader. Until
// then, the higher of the committed and the proposed floor applies here.
std::optional<QuotaFloors>
QuotaAllocator::ProposeFloors(TimePoint aNow)
{
  AdvanceInSteps(aNow);
  const bool isCommitting = mCommitted.mNumber < mProposed.mNumber &&
                            aNow - mProposedAt < kCommitTimeout;
  if (isCommitting || (!mNeedsLowerFloors && aNow - mScannedAt < kScanPeriod)) {
    return std::nullopt;
  }
  mScannedAt = aNow;
  mNeedsLowerFloors = false;
  std::erase_if(mAccounts, [&](const auto& aPair) {
    return aPair.second.mRemovedAt &&
           aNow - *aPair.second.mRemovedAt > kRemovedAccountRetention &&
           (!aPair.second.mQueue || aPair.second.mQueue->Size() == 0);
  });
  QuotaFloors next{ .mNumber =
                      std::max(mCommitted.mNumber, mProposed.mNumber) + 1 };
  bool changed = false;
  for (auto& [name, account] : mAccounts) {
    Accrue(account, aNow);
    double floor = account.mFloor;
    if (IsLow(account) || IsHigh(account)) {
      const double margin = std::max(kFloorMarginFraction * account.mMaxBalance,
                                     2 * account.mLargestDeferred);
      account.mLargestDeferred = 0.0;
      floor = std::max(0.0, account.mBalance - margin);
      changed = changed || floor != account.mFloor;
    }
    if (floor < kDefaultFloorFraction * account.mMaxBalance) {
      next.mUnits.emplace(name, static_cast<std::uint64_t>(floor));
    }
  }
  if (!changed) {
    return std::nullopt;
  }
  for (auto& [name, account] : mAccounts) {
    const auto listed = next.mUnits.find(name);
    const double floor = listed == next.mUnits.end()
                           ? kDefaultFloorFraction * account.mMaxBalance
                           : static_cast<double>(listed->second);
    account.mFloor = std::max(account.mFloor, floor);
  }
  mProposed = next;
  mProposedAt = aNow;
  return next;
}

std::vector<QuotaStatistics>
QuotaAllocator::TakeStatistics()
{
  std::vector<QuotaStatistics> statistics;
  for (auto& [name, account] : mAccounts) {
    QuotaStatistics one = std::exchange(account.mStatistics, {});
    if (one.mRefused > 0) {
      one.mCustomer = name;
      one.mBalance = account.mBalance;
      one.mMaxBalance = account.mMaxBalance;
      statistics.push_back(std::move(one));
    }
  }
  return statistics;
}

} // namespace peridotspool::gateway
