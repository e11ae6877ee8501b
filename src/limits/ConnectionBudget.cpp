#include "peridotspool/limits/ConnectionBudget.h"

#include <algorithm>

namespace peridotspool::limits {

namespace {

/** Without progress for this long a request or a response is stalled. */
constexpr Duration kStallTime = std::chrono::seconds(1);
/** Less is no progress: a client could trickle bytes to keep its room. */
constexpr std::uint64_t kProgressBytes = 4U << 10;
/** Holders of more are large. */
constexpr std::size_t kSmallBytes = 64U << 10;

/** Classes of connections by how readily they give way. */
constexpr int kStays = 0;
constexpr int kAhead = 1;
constexpr int kSending = 2;
constexpr int kReceivingLittle = 3;
constexpr int kReceiving = 4;
constexpr int kStalled = 5;

std::size_t
LargeBytes(std::size_t aBytes)
{
  return aBytes - std::min(aBytes, kSmallBytes);
}

std::size_t
MaxLargeBytes(std::size_t aTotal)
{
  return aTotal / 4 * 3;
}

} // namespace

ConnectionBudget::ConnectionBudget(const ConnectionBounds& aBounds)
  : mBounds(aBounds)
{
}

ConnectionId
ConnectionBudget::Open(TimePoint aNow)
{
  mAccounts.emplace(++mLastId, Account{ .mState = {}, .mProgressAt = aNow });
  return mLastId;
}

void
ConnectionBudget::Update(ConnectionId aConnection,
                         const ConnectionState& aState,
                         TimePoint aNow)
{
  const auto found = mAccounts.find(aConnection);
  if (found == mAccounts.end()) {
    return;
  }
  Account& account = found->second;
  mBytes += aState.mBytes - account.mState.mBytes;
  mLargeBytes += LargeBytes(aState.mBytes) - LargeBytes(account.mState.mBytes);
  if (aState.mPhase != account.mState.mPhase ||
      aState.mTransferred >= account.mProgressTransferred + kProgressBytes) {
    account.mProgressAt = aNow;
    account.mProgressTransferred = aState.mTransferred;
  }
  account.mState = aState;
}

void
ConnectionBudget::Close(ConnectionId aConnection)
{
  const auto found = mAccounts.find(aConnection);
  if (found != mAccounts.end()) {
    mBytes -= found->second.mState.mBytes;
    mLargeBytes -= LargeBytes(found->second.mState.mBytes);
    mAccounts.erase(found);
  }
}

bool
ConnectionBudget::IsStalled(const Account& aAccount, TimePoint aNow)
{
  const ConnectionPhase phase = aAccount.mState.mPhase;
  return (phase == ConnectionPhase::kReceiving ||
          phase == ConnectionPhase::kSending) &&
         aNow - aAccount.mProgressAt >= kStallTime;
}

std::optional<ConnectionId>
ConnectionBudget::FindReplaceable(TimePoint aNow) const
{
  std::optional<ConnectionId> found;
  std::pair<int, Duration> best{ 0, 0 };
  for (const auto& [id, account] : mAccounts) {
    const ConnectionPhase phase = account.mState.mPhase;
    const int readiness = phase == ConnectionPhase::kDraining ? 3
                          : phase == ConnectionPhase::kIdle   ? 2
                          : IsStalled(account, aNow)          ? 1
                                                              : 0;
    const std::pair rank{ readiness, Duration(aNow - account.mProgressAt) };
    if (readiness > 0 && (!found || rank > best)) {
      found = id;
      best = rank;
    }
  }
  return found;
}

bool
ConnectionBudget::IsOver() const
{
  return mBytes > mBounds.mTotalBytes ||
         mLargeBytes > MaxLargeBytes(mBounds.mTotalBytes);
}

// Of requests that make progress the latest gives way, so that the earlier ones
// become complete; not one with less than its share, whose end frees little.
ConnectionBudget::Rank
ConnectionBudget::RankOf(ConnectionId aConnection,
                         const Account& aAccount,
                         TimePoint aNow) const
{
  const ConnectionState& state = aAccount.mState;
  if (IsStalled(aAccount, aNow)) {
    return { kStalled, state.mBytes };
  }
  switch (state.mPhase) {
    case ConnectionPhase::kReceiving:
      return state.mBytes * mAccounts.size() >= mBytes
               ? Rank{ kReceiving, aConnection }
               : Rank{ kReceivingLittle, state.mBytes };
    case ConnectionPhase::kSending:
      return { kSending, state.mBytes };
    case ConnectionPhase::kServing:
      return state.mIsAhead ? Rank{ kAhead, state.mBytes } : Rank{ kStays, 0 };
    case ConnectionPhase::kIdle:
    case ConnectionPhase::kDraining:
      break;
  }
  return { kStays, 0 };
}

std::optional<ConnectionId>
ConnectionBudget::FindOverrun(TimePoint aNow) const
{
  if (!IsOver()) {
    return std::nullopt;
  }
  const bool isTotal = mBytes > mBounds.mTotalBytes;
  std::optional<ConnectionId> found;
  Rank best;
  for (const auto& [id, account] : mAccounts) {
    const Rank rank = RankOf(id, account, aNow);
    const bool isCandidate =
      rank.mClass > kStays && (isTotal || account.mState.mBytes > kSmallBytes);
    if (isCandidate && rank > best) {
      found = id;
      best = rank;
    }
  }
  return found;
}

} // namespace peridotspool::limits
