#include "peridotspool/gateway/QuotaGate.h"

#include "peridotspool/gateway/QuotaTiming.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace peridotspool::gateway {

namespace {

/** A request waits this long for the leader before the entry decides. */
constexpr Duration kAnswerTimeout = std::chrono::milliseconds(800);
/** A leader that is silent for longer is not waited for any more... */
constexpr Duration kLeaderChange = std::chrono::milliseconds(400);
/** ...but asked again this often. */
constexpr Duration kProbePeriod = std::chrono::milliseconds(250);
/** Stock for this much of an entry's use is asked for with each request. */
constexpr double kStockSeconds = 0.4;
constexpr double kUseSeconds = 2.0;
constexpr std::size_t kMostWaiting = 4096;
constexpr std::size_t kMostReturns = 1024;
constexpr Duration kLeastComeBack = std::chrono::milliseconds(200);
/** A leader is likely to answer again by then. */
constexpr Duration kLongestComeBack = std::chrono::seconds(1);

} // namespace

QuotaGate::Account&
QuotaGate::Use(const Customer& aCustomer, double aUnits, TimePoint aNow)
{
  const auto [place, added] = mAccounts.try_emplace(aCustomer.mName);
  Account& account = place->second;
  if (added) {
    account.mUsedAt = aNow;
  }
  const double fade =
    std::exp(-ToSeconds(aNow - account.mUsedAt) / kUseSeconds);
  account.mUse = account.mUse * fade + aUnits / kUseSeconds;
  account.mUsedAt = aNow;
  return account;
}

QuotaAnswer
QuotaGate::Take(const Customer& aCustomer, double aUnits, TimePoint aNow)
{
  if (aCustomer.mRatePerSecond <= 0.0) {
    return {};
  }
  Account& account = Use(aCustomer, aUnits, aNow);
  if (const auto lapsesAt = account.mStock.Take(aUnits, aNow)) {
    return { .mReceipt = { .mSource = QuotaSource::kStock,
                           .mLapsesAt = *lapsesAt } };
  }
  if (TakeOwn(aCustomer, aUnits, aNow)) {
    return { .mReceipt = { .mSource = QuotaSource::kOwnPart } };
  }
  if (RefusesAtOnce(aNow)) {
    return { .mOutcome = QuotaOutcome::kRefused,
             .mComeBack = ComeBack(aCustomer, aUnits, aNow) };
  }
  return Ask(aCustomer, aUnits, account.mUse, aNow);
}

bool
QuotaGate::RefusesAtOnce(TimePoint aNow) const
{
  const bool silent = mSilentSince && aNow - *mSilentSince >= kLeaderChange &&
                      aNow - mProbedAt < kProbePeriod;
  return silent || mWaiting.size() >= kMostWaiting;
}

QuotaAnswer
QuotaGate::Ask(const Customer& aCustomer,
               double aUnits,
               double aUse,
               TimePoint aNow)
{
  mProbedAt = aNow;
  QuotaAnswer answer{ .mOutcome = QuotaOutcome::kAsked };
  answer.mAsk.mReturns = std::exchange(mReturns, {});
  Waiting waiting{ .mCustomer = aCustomer, .mUnits = aUnits, .mAskedAt = aNow };
  AddLine(answer.mAsk, waiting);
  answer.mTag = mLastTag;
  waiting.mUnits = std::floor(aUse * kStockSeconds);
  waiting.mStock = true;
  if (waiting.mUnits >= 1.0) {
    AddLine(answer.mAsk, waiting);
  }
  return answer;
}

void
QuotaGate::AddLine(QuotaAsk& aAsk, const Waiting& aWaiting)
{
  mWaiting.emplace(++mLastTag, aWaiting);
  aAsk.mLines.push_back(
    { .mCustomer = aWaiting.mCustomer.mName,
      .mUnits = static_cast<std::uint64_t>(std::ceil(aWaiting.mUnits)),
      .mTag = mLastTag,
      .mStock = aWaiting.mStock });
}

QuotaAsk
QuotaGate::AskAgain() const
{
  QuotaAsk ask;
  for (const auto& [tag, waiting] : mWaiting) {
    if (!waiting.mStock) {
      ask.mLines.push_back(
        { .mCustomer = waiting.mCustomer.mName,
          .mUnits = static_cast<std::uint64_t>(std::ceil(waiting.mUnits)),
          .mTag = tag });
    }
  }
  return ask;
}

// What nobody waits for any more goes back to the leader: kept here, it would
// be used beside what the account has grown by meanwhile.
std::vector<QuotaDecided>
QuotaGate::TakeGrant(const QuotaGrant& aGrant)
{
  mSilentSince.reset();
  std::vector<QuotaDecided> decided;
  for (const QuotaVerdict& verdict : aGrant.mVerdicts) {
    const QuotaLine& line = verdict.mLine;
    const auto found = mWaiting.find(line.mTag);
    const bool waits = found != mWaiting.end();
    if (waits && !found->second.mStock) {
      decided.push_back(
        { .mTag = line.mTag,
          .mGranted = verdict.mGranted,
          .mComeBack = std::chrono::milliseconds(verdict.mComeBackMs),
          .mReceipt = { .mSource = QuotaSource::kLeader,
                        .mGrantor = aGrant.mGrantor,
                        .mGrantedAt = aGrant.mGrantedAt } });
    } else if (waits && verdict.mGranted) {
      mAccounts[line.mCustomer].mStock.Put(static_cast<double>(line.mUnits),
                                           found->second.mAskedAt + kStockFor);
    } else if (verdict.mGranted) {
      mLateUnits += static_cast<double>(line.mUnits);
      Return({ .mGrantor = aGrant.mGrantor,
               .mGrantedAt = aGrant.mGrantedAt,
               .mCustomer = line.mCustomer,
               .mUnits = line.mUnits });
    }
    if (waits) {
      mWaiting.erase(found);
    }
  }
  return decided;
}

std::vector<QuotaDecided>
QuotaGate::Tick(TimePoint aNow)
{
  std::vector<QuotaDecided> decided;
  for (auto place = mWaiting.begin(); place != mWaiting.end();) {
    const Waiting& waiting = place->second;
    if (aNow - waiting.mAskedAt < kAnswerTimeout) {
      ++place;
      continue;
    }
    mSilentSince = mSilentSince.value_or(aNow);
    if (!waiting.mStock) {
      const bool granted = TakeOwn(waiting.mCustomer, waiting.mUnits, aNow);
      decided.push_back(
        { .mTag = place->first,
          .mGranted = granted,
          .mComeBack = ComeBack(waiting.mCustomer, waiting.mUnits, aNow),
          .mReceipt = { .mSource = QuotaSource::kOwnPart } });
    }
    place = mWaiting.erase(place);
  }
  return decided;
}

// One of an earlier term was under way for long: its leader counts on nothing.
bool
QuotaGate::TakeLease(const QuotaLease& aLease, TimePoint aNow)
{
  const bool isNew = aLease.mGrantor != mLease.mGrantor;
  if (aLease.mTerm < mLease.mTerm ||
      (!isNew && aLease.mNumber <= mLease.mNumber)) {
    return false;
  }
  mLease = aLease;
  mLeaseEnd = aNow + kQuotaLeaseLength;
  mOwnParts.clear();
  return isNew;
}

bool
QuotaGate::UsesOwnPart(TimePoint aNow) const
{
  return mLease.mParts > 0 && aNow >= mLeaseEnd &&
         aNow - mLeaseEnd < kOwnPartFor;
}

/** Returns null while a lease holds. */
QuotaGate::OwnPart*
QuotaGate::Grow(const Customer& aCustomer, TimePoint aNow)
{
  if (!UsesOwnPart(aNow)) {
    return nullptr;
  }
  const auto [place, added] =
    mOwnParts.try_emplace(aCustomer.mName, OwnPart{ .mAt = mLeaseEnd });
  OwnPart& part = place->second;
  const double rate = aCustomer.mRatePerSecond / mLease.mParts;
  part.mUnits = std::min(part.mUnits + rate * ToSeconds(aNow - part.mAt),
                         rate * ToSeconds(kOwnPartSaved));
  part.mAt = aNow;
  return &part;
}

bool
QuotaGate::TakeOwn(const Customer& aCustomer, double aUnits, TimePoint aNow)
{
  OwnPart* part = Grow(aCustomer, aNow);
  if (part == nullptr || part->mUnits < aUnits) {
    return false;
  }
  part->mUnits -= aUnits;
  return true;
}

Duration
QuotaGate::ComeBack(const Customer& aCustomer, double aUnits, TimePoint aNow)
{
  const OwnPart* part = Grow(aCustomer, aNow);
  if (part == nullptr) {
    return kLeastComeBack;
  }
  const double rate = aCustomer.mRatePerSecond / mLease.mParts;
  const Duration wait(static_cast<Duration::rep>(
    std::min((aUnits - part->mUnits) / rate, ToSeconds(kLongestComeBack)) *
    1e6));
  return std::max(wait, kLeastComeBack);
}

void
QuotaGate::GiveBack(const Customer& aCustomer,
                    double aUnits,
                    const QuotaReceipt& aReceipt,
                    TimePoint aNow)
{
  switch (aReceipt.mSource) {
    case QuotaSource::kNone:
      return;
    case QuotaSource::kLeader:
      Return({ .mGrantor = aReceipt.mGrantor,
               .mGrantedAt = aReceipt.mGrantedAt,
               .mCustomer = aCustomer.mName,
               .mUnits = static_cast<std::uint64_t>(aUnits) });
      return;
    case QuotaSource::kStock:
      mAccounts[aCustomer.mName].mStock.Put(aUnits, aReceipt.mLapsesAt);
      return;
    case QuotaSource::kOwnPart:
      if (OwnPart* part = Grow(aCustomer, aNow)) {
        const double rate = aCustomer.mRatePerSecond / mLease.mParts;
        part->mUnits =
          std::min(part->mUnits + aUnits, rate * ToSeconds(kOwnPartSaved));
      }
      return;
  }
}

void
QuotaGate::Return(const QuotaReturn& aReturn)
{
  if (mReturns.size() < kMostReturns) {
    mReturns.push_back(aReturn);
  }
}

std::optional<QuotaAsk>
QuotaGate::TakeReturns()
{
  if (mReturns.empty()) {
    return std::nullopt;
  }
  return QuotaAsk{ .mLines = {}, .mReturns = std::exchange(mReturns, {}) };
}

void
QuotaGate::Forget(std::uint64_t aTag)
{
  mWaiting.erase(aTag);
}

} // namespace peridotspool::gateway
