#include "peridotspool/gateway/SharedCapacity.h"

#include <algorithm>

namespace peridotspool::gateway {

namespace {

constexpr std::uint32_t kWholeSharePercent = 100;
/** Lower priorities than this share a turn. */
constexpr std::uint32_t kMaxPriority = 1000000;

/** Of the backlog from before; ids of sends start at random numbers. */
constexpr std::uint64_t kEarlierSends = 0;

} // namespace

SharedCapacity::SharedCapacity(Duration aWait, TimePoint aNow)
{
  mBacklog.Add(kEarlierSends, 0, aWait, false, aNow);
}

void
SharedCapacity::Start(std::uint64_t aSendId,
                      const std::optional<routing::SendAccount>& aAccount,
                      Duration aPrefillTime,
                      TimePoint aNow)
{
  if (!aAccount) {
    mBacklog.Add(aSendId, 0, aPrefillTime, false, aNow);
    return;
  }
  const std::uint32_t turn = TurnOf(*aAccount, aNow);
  const auto [send, added] = mSends.try_emplace(
    aSendId, Send{ .mAccount = *aAccount, .mTurn = turn, .mStartedAt = aNow });
  if (added) {
    mShares.Start(*aAccount, aNow);
    mBacklog.Add(aSendId, turn, aPrefillTime, true, aNow);
  }
}

void
SharedCapacity::RecordPrefillDone(std::uint64_t aSendId, TimePoint aNow)
{
  const auto send = mSends.find(aSendId);
  if (send != mSends.end() && !send->second.mPrefillDone) {
    send->second.mPrefillDone = true;
    mBacklog.RecordPrefillDone(aSendId, aNow);
  }
}

void
SharedCapacity::End(std::uint64_t aSendId,
                    std::optional<std::uint64_t> aUsedTokens,
                    TimePoint aNow)
{
  mBacklog.Remove(aSendId, aNow);
  const auto send = mSends.find(aSendId);
  if (send == mSends.end()) {
    return;
  }
  const routing::SendAccount& account = send->second.mAccount;
  mShares.End(account,
              aUsedTokens.value_or(account.mTokens),
              send->second.mStartedAt,
              aNow);
  mSends.erase(send);
}

void
SharedCapacity::RemoveExpired(Duration aMaxAge, TimePoint aNow)
{
  std::erase_if(mSends, [&](const auto& aPair) {
    const Send& send = aPair.second;
    if (aNow - send.mStartedAt < aMaxAge) {
      return false;
    }
    mBacklog.Remove(aPair.first, aNow);
    mShares.End(send.mAccount, send.mAccount.mTokens, send.mStartedAt, aNow);
    return true;
  });
}

std::uint32_t
SharedCapacity::TurnOf(const routing::SendAccount& aAccount,
                       TimePoint aNow) const
{
  const std::uint32_t priority = std::min(aAccount.mPriority, kMaxPriority);
  if (SharePercent(aAccount, aNow) > kWholeSharePercent) {
    return 2 * priority + 1;
  }
  return aAccount.mIsSmallPrompt ? 0 : 2 * priority;
}

std::size_t
SharedCapacity::Passed(const routing::SendAccount& aAccount,
                       TimePoint aNow) const
{
  const std::uint32_t turn = TurnOf(aAccount, aNow);
  return static_cast<std::size_t>(
    std::count_if(mSends.begin(), mSends.end(), [&](const auto& aPair) {
      return !aPair.second.mPrefillDone && aPair.second.mTurn > turn;
    }));
}

std::uint32_t
SharedCapacity::SharePercent(const routing::SendAccount& aAccount,
                             TimePoint aNow) const
{
  const std::uint32_t percent = mShares.Percent(aAccount, aNow);
  return mBacklog.IsShort(aNow) ? percent
                                : std::min(percent, kWholeSharePercent);
}

} // namespace peridotspool::gateway
