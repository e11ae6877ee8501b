#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/gateway/FailureShare.h"
#include "peridotspool/gateway/LoadMessage.h"
#include "peridotspool/gateway/PrefixMemory.h"
#include "peridotspool/gateway/ReadingQueue.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace peridotspool::gateway {

/**
 * The account of the upstreams that this entry is the keeper of: what all
 * entries have sent there. It lives in memory only: of one that is lost, what
 * runs is known again once the requests of that moment have ended, and what the
 * engine keeps as soon as it is used.
 *
 * A pure step. Not thread-safe.
 */
class LoadKeeper
{
public:
  void Take(const LoadSent& aSent, TimePoint aNow);
  void Take(const LoadBegun& aBegun, TimePoint aNow);
  void Take(const LoadEnded& aEnded, TimePoint aNow);
  LoadTold Answer(const LoadAsk& aAsk, TimePoint aNow) const;
  /** Drops sends whose end nobody told, and accounts without sends. */
  void Forget(TimePoint aNow);

  std::size_t Accounts() const { return mAccounts.size(); }

private:
  struct Send
  {
    Duration mReading{ 0 };
    /** When its prompt will have been read, as expected when it was sent. */
    TimePoint mReadAt;
    TimePoint mSentAt;
  };
  struct Account
  {
    Incarnation mIncarnation;
    ReadingQueue mReading;
    PrefixMemory mPrefixes;
    FailureShare mFailures;
    std::unordered_map<std::uint64_t, Send> mSends;
    TimePoint mUsedAt;
  };

  std::unordered_map<UpstreamName, Account> mAccounts;
};

} // namespace peridotspool::gateway
