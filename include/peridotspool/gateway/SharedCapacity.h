#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/gateway/PriorityBacklog.h"
#include "peridotspool/routing/CustomerShares.h"
#include "peridotspool/routing/SendAccount.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace peridotspool::gateway {

/**
 * What a load coordinator knows of one upstream by priority and customer, where
 * customers share capacity.
 *
 * Does no I/O and reads no clock. Not thread-safe.
 */
class SharedCapacity
{
public:
  /** @param aWait backlog of sends without an account, for all priorities */
  SharedCapacity(Duration aWait, TimePoint aNow);
  /** Records a send. One without an account comes from an entry that shares no
   * capacity; every priority waits for it. */
  void Start(std::uint64_t aSendId,
             const std::optional<routing::SendAccount>& aAccount,
             Duration aPrefillTime,
             TimePoint aNow);
  void RecordPrefillDone(std::uint64_t aSendId, TimePoint aNow);
  /** @param aUsedTokens empty if unknown */
  void End(std::uint64_t aSendId,
           std::optional<std::uint64_t> aUsedTokens,
           TimePoint aNow);
  /** Ends sends that began this long ago. */
  void RemoveExpired(Duration aMaxAge, TimePoint aNow);
  Duration Wait(const routing::SendAccount& aAccount, TimePoint aNow) const
  {
    return mBacklog.Wait(TurnOf(aAccount, aNow), aNow);
  }
  /** Returns the number of sends that wait at the upstream and are less urgent,
   * so that a request passes them. */
  std::size_t Passed(const routing::SendAccount& aAccount,
                     TimePoint aNow) const;
  /** Returns what the customer used lately, in percent of its share; 100 or
   * less while the upstream isn't short of capacity. */
  std::uint32_t SharePercent(const routing::SendAccount& aAccount,
                             TimePoint aNow) const;

  std::size_t SendCount() const { return mSends.size(); }

private:
  /** Returns the order in which engines admit requests: by priority, and within
   * one those of customers over their share last. */
  std::uint32_t TurnOf(const routing::SendAccount& aAccount,
                       TimePoint aNow) const;

  struct Send
  {
    routing::SendAccount mAccount;
    std::uint32_t mTurn = 0;
    TimePoint mStartedAt;
    bool mPrefillDone = false;
  };

  PriorityBacklog mBacklog;
  routing::CustomerShares mShares;
  std::unordered_map<std::uint64_t, Send> mSends;
};

} // namespace peridotspool::gateway
