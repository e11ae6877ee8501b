#include "peridotspool/gateway/QuotaLeases.h"

#include "peridotspool/gateway/QuotaTiming.h"

#include <algorithm>

namespace peridotspool::gateway {

namespace {

/** Own parts are left for entries that were removed and still serve: one for
 * each so many members, and at least some. */
constexpr std::size_t kMembersEach = 8;
constexpr std::size_t kLeastSpare = 3;
/** Leases that an entry may still confirm. */
constexpr std::size_t kMostSent = 16;
/** Clocks of two processes may run apart by this share of a lease. */
constexpr Duration kClockMargin = kQuotaLeaseLength / 50;
constexpr Duration kCover = kQuotaLeaseLength - kClockMargin;
/** After this long without cover an entry uses its own part no more. */
constexpr Duration kUsesFor = kOwnPartFor + kQuotaLeaseLength + kClockMargin;

} // namespace

QuotaLeases::QuotaLeases(std::uint64_t aGrantor, std::uint64_t aTerm)
  : mGrantor(aGrantor)
  , mTerm(aTerm)
{
}

// A member that this leader has not heard yet may hold an older leader's lease
// that has ended.
void
QuotaLeases::UseEntries(const std::vector<Address>& aEntries, TimePoint aNow)
{
  mMembers = aEntries.size();
  mParts = static_cast<std::uint32_t>(
    mMembers + std::max(kLeastSpare, mMembers / kMembersEach));
  for (auto& [address, holder] : mHolders) {
    holder.mMember = false;
  }
  for (const Address& address : aEntries) {
    const auto [place, added] = mHolders.try_emplace(address);
    Holder& holder = place->second;
    holder.mMember = true;
    if (added) {
      holder.mMayUse = true;
      holder.mCoveredUntil = aNow - kOwnPartSaved;
      holder.mLeastParts = mParts;
    }
  }
}

QuotaLease
QuotaLeases::Renew(const Address& aEntry,
                   const QuotaLease& aHeld,
                   TimePoint aNow)
{
  const auto [place, added] = mHolders.try_emplace(aEntry);
  Holder& holder = place->second;
  if (added) {
    holder.mCoveredUntil = aNow - kOwnPartSaved;
    holder.mLeastParts = mParts;
  }
  holder.mMayUse = holder.mMayUse || aHeld.mNumber != 0;
  Confirm(holder, aHeld);
  const QuotaLease lease{ .mGrantor = mGrantor,
                          .mTerm = mTerm,
                          .mNumber = ++mLastNumber,
                          .mParts = mParts };
  holder.mSent.push_back(
    { .mNumber = lease.mNumber, .mAt = aNow, .mParts = lease.mParts });
  holder.mLeastParts = std::min(holder.mLeastParts, lease.mParts);
  if (holder.mSent.size() > kMostSent) {
    holder.mSent.pop_front();
  }
  return lease;
}

bool
QuotaLeases::Covers(const Address& aEntry, TimePoint aNow) const
{
  const auto found = mHolders.find(aEntry);
  return found != mHolders.end() && aNow < found->second.mCoveredUntil;
}

// The entry took the lease after it was sent: its own count of the lease's
// length ends later than one from the sending.
void
QuotaLeases::Confirm(Holder& aHolder, const QuotaLease& aHeld)
{
  if (aHeld.mGrantor != mGrantor) {
    return;
  }
  auto& sent = aHolder.mSent;
  while (!sent.empty() && sent.front().mNumber < aHeld.mNumber) {
    sent.pop_front();
  }
  if (sent.empty() || sent.front().mNumber != aHeld.mNumber) {
    return;
  }
  aHolder.mCoveredUntil =
    std::max(aHolder.mCoveredUntil, sent.front().mAt + kCover);
  aHolder.mLeastParts =
    std::min_element(sent.begin(),
                     sent.end(),
                     [](const Sent& aOne, const Sent& aOther) {
                       return aOne.mParts < aOther.mParts;
                     })
      ->mParts;
}

void
QuotaLeases::Advance(TimePoint aNow)
{
  mOwnPart = 0.0;
  mOwnSaved = 0.0;
  mUncovered = 0;
  std::erase_if(mHolders, [&](const auto& aPair) {
    const Holder& holder = aPair.second;
    return !holder.mMember && aNow - holder.mCoveredUntil > kUsesFor;
  });
  for (const auto& [address, holder] : mHolders) {
    const Duration uncovered = aNow - holder.mCoveredUntil;
    if (!holder.mMayUse || uncovered <= Duration(0) || uncovered > kUsesFor) {
      continue;
    }
    const double part = 1.0 / holder.mLeastParts;
    mOwnPart += part;
    mOwnSaved += part * ToSeconds(std::min(uncovered, kOwnPartSaved));
    ++mUncovered;
  }
  mOwnPart = std::min(1.0, mOwnPart);
}

} // namespace peridotspool::gateway
