#pragma once

#include "peridotspool/rollout/RolloutMessage.h"

#include <cstdint>
#include <unordered_map>

namespace peridotspool::rollout {

/**
 * The leader's account of the requests that entries may send to a new version
 * before it is found sound.
 *
 * The sum of all allowances never exceeds what the control log says may have
 * been granted out, and that is never raised above the bound on exposure. So
 * the bound holds whatever message, entry or leader is lost: an entry sends no
 * more than its newest allowance says, and a new leader counts all that earlier
 * ones had reserved as spent.
 *
 * A pure step; not thread-safe.
 */
class AllowanceAccount
{
public:
  /** @param aSpent reserved before this leader's time */
  explicit AllowanceAccount(std::uint64_t aSpent)
    : mSpent(aSpent)
  {
  }

  /**
   * Takes what an entry's process says; aSequence is the last update that it
   * has taken from this leader. What it can't use any more is available again.
   */
  void RecordProgress(std::uint64_t aIncarnation,
                      const RolloutProgress& aProgress,
                      std::uint64_t aSequence);
  /**
   * Returns the entry's allowance for its next update, raised to so many unused
   * ones if aReserved leaves available.
   */
  std::uint64_t Allow(std::uint64_t aIncarnation,
                      std::uint64_t aUnused,
                      std::uint64_t aReserved,
                      std::uint64_t aSequence);
  std::uint64_t Spent() const { return mSpent; }

private:
  struct Holder
  {
    std::uint64_t mUsed = 0;
    std::uint64_t mAllowed = 0;
    /** Of the update that last carried an allowance. */
    std::uint64_t mSequence = 0;
  };

  std::uint64_t mSpent;
  std::unordered_map<std::uint64_t, Holder> mHolders;
};

} // namespace peridotspool::rollout
