#include "peridotspool/gateway/QuotaLeases.h"

#include "peridotspool/gateway/QuotaTiming.h"

#include <algorithm>

namespace peridotspool::gateway {

namespace {

/** One fallback share per this many members is reserved for removed entries
 * that are still serving. */
constexpr std::size_t kMembersPerSpare = 8;
/** At least this many fallback shares are reserved for removed entries. */
constexpr std::size_t kMinSpares = 3;
/** Bounds the leases of one entry that may still be confirmed. */
constexpr std::size_t kMaxSentLeases = 16;
/** Bounds the drift between two processes' clocks over one lease. */
constexpr Duration kClockMargin = kQuotaLeaseLength / 50;
/** How long a confirmed lease certainly lasts, counted from its sending. */
constexpr Duration kConfirmedLeaseLength = kQuotaLeaseLength - kClockMargin;
/** An entry that has been unleased for longer uses no fallback share. */
constexpr Duration kMaxFallbackTime =
  kFallbackDuration + kQuotaLeaseLength + kClockMargin;

} // namespace

QuotaLeases::QuotaLeases(std::uint64_t aAllocatorId, std::uint64_t aTerm)
  : mAllocatorId(aAllocatorId)
  , mTerm(aTerm)
{
}

// A member that has not reported to this leader yet may have held an earlier
// leader's lease that has expired, and so may be using its fallback share.
void
QuotaLeases::SetEntries(const std::vector<Address>& aEntries, TimePoint aNow)
{
  mMemberCount = aEntries.size();
  mFallbackDivisor = static_cast<std::uint32_t>(
    mMemberCount + std::max(kMinSpares, mMemberCount / kMembersPerSpare));
  for (auto& [address, state] : mEntries) {
    state.mIsMember = false;
  }
  for (const Address& address : aEntries) {
    const auto [place, added] = mEntries.try_emplace(address);
    EntryState& state = place->second;
    state.mIsMember = true;
    if (added) {
      state.mMayUseFallback = true;
      state.mLeasedUntil = aNow - kMaxFallbackAccrual;
      state.mMinFallbackDivisor = mFallbackDivisor;
    }
  }
}

QuotaLease
QuotaLeases::Renew(const Address& aEntry,
                   const QuotaLease& aHeld,
                   TimePoint aNow)
{
  const auto [place, added] = mEntries.try_emplace(aEntry);
  EntryState& state = place->second;
  if (added) {
    state.mLeasedUntil = aNow - kMaxFallbackAccrual;
    state.mMinFallbackDivisor = mFallbackDivisor;
  }
  state.mMayUseFallback = state.mMayUseFallback || aHeld.mNumber != 0;
  Confirm(state, aHeld);
  const QuotaLease lease{ .mAllocatorId = mAllocatorId,
                          .mTerm = mTerm,
                          .mNumber = ++mLastNumber,
                          .mFallbackDivisor = mFallbackDivisor };
  state.mSentLeases.push_back({ .mNumber = lease.mNumber,
                                .mSentAt = aNow,
                                .mFallbackDivisor = lease.mFallbackDivisor });
  state.mMinFallbackDivisor =
    std::min(state.mMinFallbackDivisor, lease.mFallbackDivisor);
  if (state.mSentLeases.size() > kMaxSentLeases) {
    state.mSentLeases.pop_front();
  }
  return lease;
}

bool
QuotaLeases::IsLeased(const Address& aEntry, TimePoint aNow) const
{
  const auto found = mEntries.find(aEntry);
  return found != mEntries.end() && aNow < found->second.mLeasedUntil;
}

// The entry received the lease after it was sent, so the lease expires at the
// entry no earlier than counted from the sending.
void
QuotaLeases::Confirm(EntryState& aState, const QuotaLease& aHeld)
{
  if (aHeld.mAllocatorId != mAllocatorId) {
    return;
  }
  auto& sent = aState.mSentLeases;
  while (!sent.empty() && sent.front().mNumber < aHeld.mNumber) {
    sent.pop_front();
  }
  if (sent.empty() || sent.front().mNumber != aHeld.mNumber) {
    return;
  }
  aState.mLeasedUntil =
    std::max(aState.mLeasedUntil, sent.front().mSentAt + kConfirmedLeaseLength);
  aState.mMinFallbackDivisor =
    std::min_element(sent.begin(),
                     sent.end(),
                     [](const SentLease& aOne, const SentLease& aOther) {
                       return aOne.mFallbackDivisor < aOther.mFallbackDivisor;
                     })
      ->mFallbackDivisor;
}

void
QuotaLeases::Advance(TimePoint aNow)
{
  mFallbackShare = 0.0;
  mFallbackAccrual = 0.0;
  mUnleasedEntries = 0;
  std::erase_if(mEntries, [&](const auto& aPair) {
    const EntryState& state = aPair.second;
    return !state.mIsMember && aNow - state.mLeasedUntil > kMaxFallbackTime;
  });
  for (const auto& [address, state] : mEntries) {
    const Duration unleasedFor = aNow - state.mLeasedUntil;
    if (!state.mMayUseFallback || unleasedFor <= Duration(0) ||
        unleasedFor > kMaxFallbackTime) {
      continue;
    }
    const double share = 1.0 / state.mMinFallbackDivisor;
    mFallbackShare += share;
    mFallbackAccrual +=
      share * ToSeconds(std::min(unleasedFor, kMaxFallbackAccrual));
    ++mUnleasedEntries;
  }
  mFallbackShare = std::min(1.0, mFallbackShare);
}

} // namespace peridotspool::gateway
