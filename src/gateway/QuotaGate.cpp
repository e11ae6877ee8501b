#include "peridotspool/gateway/QuotaGate.h"

#include <algorithm>
#include <cmath>

namespace peridotspool::gateway {

namespace {

/** A request waits this long for the leader before the entry decides. */
constexpr Duration kAnswerTimeout = std::chrono::milliseconds(200);
/** While it is silent, the leader is asked again this often. */
constexpr Duration kProbePeriod = std::chrono::milliseconds(250);
/** Stock for this much of an entry's use is asked for with each request. */
constexpr double kStockSeconds = 0.4;
/** Stock that nobody used is dropped: others may need it. */
constexpr Duration kStockFor = std::chrono::seconds(2);
constexpr double kUseSeconds = 2.0;
/** An entry's own part may be saved up for this long. When the leader goes, all
 * entries spend what they saved at once. */
constexpr double kOwnSeconds = 0.7;

double
Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

Duration
FromSeconds(double aSeconds)
{
  return Duration(static_cast<Duration::rep>(aSeconds * 1e6));
}

} // namespace

void
QuotaGate::UseEntries(std::size_t aEntries)
{
  mEntries = std::max<std::size_t>(1, aEntries);
}

QuotaGate::Account&
QuotaGate::Use(const Customer& aCustomer, double aUnits, TimePoint aNow)
{
  const auto [place, added] = mAccounts.try_emplace(aCustomer.mName);
  Account& account = place->second;
  if (added) {
    account.mOwnAt = aNow;
    account.mUsedAt = aNow;
    account.mOwn =
      kOwnSeconds * aCustomer.mRatePerSecond / static_cast<double>(mEntries);
  }
  account.mRate = aCustomer.mRatePerSecond;
  const double fade = std::exp(-Seconds(aNow - account.mUsedAt) / kUseSeconds);
  account.mUse = account.mUse * fade + aUnits / kUseSeconds;
  account.mUsedAt = aNow;
  if (aNow - account.mStockAt > kStockFor) {
    account.mStock = 0.0;
  }
  return account;
}

QuotaAnswer
QuotaGate::Take(const Customer& aCustomer, double aUnits, TimePoint aNow)
{
  if (aCustomer.mRatePerSecond <= 0.0) {
    return {};
  }
  Account& account = Use(aCustomer, aUnits, aNow);
  if (account.mStock >= aUnits) {
    account.mStock -= aUnits;
    return { .mSource = QuotaSource::kStock };
  }
  const bool probe = mSilentSince && aNow - mProbedAt >= kProbePeriod;
  if (mSilentSince && !probe) {
    return TakeOwn(account, aUnits, aNow)
             ? QuotaAnswer{ .mSource = QuotaSource::kOwnPart }
             : QuotaAnswer{ .mOutcome = QuotaOutcome::kRefused,
                            .mComeBack = OwnComeBack(account) };
  }
  mProbedAt = aNow;
  QuotaAnswer answer{ .mOutcome = QuotaOutcome::kAsked, .mTag = ++mLastTag };
  mWaiting.emplace(answer.mTag,
                   Waiting{ .mCustomer = aCustomer.mName,
                            .mUnits = aUnits,
                            .mAskedAt = aNow });
  answer.mAsk.mLines.push_back(
    { .mCustomer = aCustomer.mName,
      .mUnits = static_cast<std::uint64_t>(std::ceil(aUnits)),
      .mTag = answer.mTag });
  const double stock = account.mUse * kStockSeconds;
  if (stock >= 1.0) {
    answer.mAsk.mLines.push_back({ .mCustomer = aCustomer.mName,
                                   .mUnits = static_cast<std::uint64_t>(stock),
                                   .mTag = 0 });
  }
  return answer;
}

std::vector<QuotaDecided>
QuotaGate::TakeGrant(const QuotaGrant& aGrant, TimePoint aNow)
{
  mSilentSince.reset();
  std::vector<QuotaDecided> decided;
  for (const QuotaVerdict& verdict : aGrant.mVerdicts) {
    const auto waiting = mWaiting.find(verdict.mLine.mTag);
    if (waiting != mWaiting.end()) {
      mWaiting.erase(waiting);
      decided.push_back(
        { .mTag = verdict.mLine.mTag,
          .mGranted = verdict.mGranted,
          .mComeBack = std::chrono::milliseconds(verdict.mComeBackMs) });
    } else if (verdict.mGranted) {
      // Stock, or a request that did not wait until now.
      mLateUnits += verdict.mLine.mTag == 0
                      ? 0.0
                      : static_cast<double>(verdict.mLine.mUnits);
      Account& account = mAccounts[verdict.mLine.mCustomer];
      account.mStock += static_cast<double>(verdict.mLine.mUnits);
      account.mStockAt = aNow;
    }
  }
  return decided;
}

std::vector<QuotaDecided>
QuotaGate::Tick(TimePoint aNow)
{
  std::vector<QuotaDecided> decided;
  for (auto waiting = mWaiting.begin(); waiting != mWaiting.end();) {
    if (aNow - waiting->second.mAskedAt < kAnswerTimeout) {
      ++waiting;
      continue;
    }
    if (!mSilentSince) {
      mSilentSince = aNow;
    }
    Account& account = mAccounts[waiting->second.mCustomer];
    const bool granted = TakeOwn(account, waiting->second.mUnits, aNow);
    decided.push_back({ .mTag = waiting->first,
                        .mGranted = granted,
                        .mComeBack = OwnComeBack(account),
                        .mSource = QuotaSource::kOwnPart });
    waiting = mWaiting.erase(waiting);
  }
  return decided;
}

bool
QuotaGate::TakeOwn(Account& aAccount, double aUnits, TimePoint aNow)
{
  const double rate = aAccount.mRate / static_cast<double>(mEntries);
  aAccount.mOwn = std::min(
    kOwnSeconds * rate, aAccount.mOwn + rate * Seconds(aNow - aAccount.mOwnAt));
  aAccount.mOwnAt = aNow;
  if (aAccount.mOwn <= 0.0) {
    return false;
  }
  aAccount.mOwn -= aUnits;
  return true;
}

Duration
QuotaGate::OwnComeBack(const Account& aAccount) const
{
  const double rate =
    std::max(1.0, aAccount.mRate / static_cast<double>(mEntries));
  return FromSeconds(std::clamp(-aAccount.mOwn / rate, 0.2, 10.0));
}

void
QuotaGate::GiveBack(const CustomerName& aCustomer, double aUnits)
{
  const auto found = mAccounts.find(aCustomer);
  if (found != mAccounts.end()) {
    found->second.mStock += aUnits;
  }
}

void
QuotaGate::Forget(std::uint64_t aTag)
{
  mWaiting.erase(aTag);
}

} // namespace peridotspool::gateway
