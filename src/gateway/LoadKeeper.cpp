#include "peridotspool/gateway/LoadKeeper.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace peridotspool::gateway {

namespace {

/** Longer than any answer takes: the entry that sent it is gone, or its last
 * message was lost. */
constexpr Duration kLongestSend = std::chrono::seconds(20);
/** An account that nobody used for this long is dropped. */
constexpr Duration kAccountAge = std::chrono::minutes(5);
/** What runs takes the rest of an engine's memory. */
constexpr double kPrefixPart = 0.8;
/** Of an engine that nothing is known of. */
constexpr std::uint64_t kMemoryUnknown = 500000;
/** Bounds of what other processes may have this one hold. */
constexpr std::size_t kMostAccounts = 4096;
constexpr std::size_t kMostSends = 1024;
constexpr std::size_t kMostAsked = 64;

std::uint32_t
Microseconds(Duration aDuration)
{
  const auto micros =
    std::chrono::duration_cast<std::chrono::microseconds>(aDuration).count();
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(
    micros, 0, std::numeric_limits<std::uint32_t>::max()));
}

} // namespace

void
LoadKeeper::Take(const LoadSent& aSent, TimePoint aNow)
{
  if (!mAccounts.contains(aSent.mUpstream) &&
      mAccounts.size() >= kMostAccounts) {
    return;
  }
  Account& account = mAccounts[aSent.mUpstream];
  if (aSent.mIncarnation < account.mIncarnation) {
    return;
  }
  if (aSent.mIncarnation > account.mIncarnation) {
    // What was sent before went to a process that is gone.
    account = Account{};
    account.mIncarnation = aSent.mIncarnation;
  }
  account.mUsedAt = aNow;
  const auto memory =
    static_cast<double>(aSent.mMemory == 0 ? kMemoryUnknown : aSent.mMemory);
  account.mPrefixes.Use(aSent.mParts,
                        static_cast<std::uint64_t>(kPrefixPart * memory));
  if (account.mSends.size() >= kMostSends) {
    return;
  }
  const Duration reading = std::chrono::microseconds(aSent.mReadUs);
  account.mSends[aSent.mSend] = { .mReading = reading,
                                  .mReadAt =
                                    account.mReading.Add(reading, aNow),
                                  .mSentAt = aNow };
}

void
LoadKeeper::Take(const LoadBegun& aBegun, TimePoint aNow)
{
  const auto account = mAccounts.find(aBegun.mUpstream);
  if (account == mAccounts.end()) {
    return;
  }
  const auto send = account->second.mSends.find(aBegun.mSend);
  if (send != account->second.mSends.end()) {
    account->second.mReading.WasRead(send->second.mReadAt, aNow);
  }
}

void
LoadKeeper::Take(const LoadEnded& aEnded, TimePoint aNow)
{
  const auto account = mAccounts.find(aEnded.mUpstream);
  if (account == mAccounts.end()) {
    return;
  }
  const auto send = account->second.mSends.find(aEnded.mSend);
  if (send == account->second.mSends.end()) {
    return;
  }
  if (!aEnded.mWasRead) {
    account->second.mReading.Withdraw(send->second.mReading);
  }
  account->second.mFailures.Take(aEnded.mFailed, aNow);
  account->second.mSends.erase(send);
}

LoadTold
LoadKeeper::Answer(const LoadAsk& aAsk, TimePoint aNow) const
{
  LoadTold told{ .mTag = aAsk.mTag, .mLines = {} };
  for (const UpstreamName& name : aAsk.mUpstreams) {
    if (told.mLines.size() == kMostAsked) {
      break;
    }
    LoadLine line{ .mUpstream = name };
    const auto found = mAccounts.find(name);
    if (found != mAccounts.end()) {
      const Account& account = found->second;
      line.mWaitUs = Microseconds(account.mReading.Wait(aNow));
      line.mRunning = static_cast<std::uint32_t>(account.mSends.size());
      line.mKept =
        static_cast<std::uint32_t>(account.mPrefixes.Kept(aAsk.mParts));
      line.mFailing = account.mFailures.Percent(aNow);
    }
    told.mLines.push_back(std::move(line));
  }
  return told;
}

void
LoadKeeper::Forget(TimePoint aNow)
{
  for (auto& [name, account] : mAccounts) {
    std::erase_if(account.mSends, [&](const auto& aPair) {
      return aNow - aPair.second.mSentAt >= kLongestSend;
    });
  }
  std::erase_if(mAccounts, [&](const auto& aPair) {
    return aPair.second.mSends.empty() &&
           aNow - aPair.second.mUsedAt >= kAccountAge;
  });
}

} // namespace peridotspool::gateway
