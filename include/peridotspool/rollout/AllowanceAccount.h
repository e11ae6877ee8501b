#pragma once

#include "peridotspool/rollout/RolloutMessage.h"

#include <cstdint>
#include <unordered_map>

namespace peridotspool::rollout {

/**
 * The leader's account of the requests that entries may send to a new version
 * before the version has been accepted.
 *
 * The sum of all allowances never exceeds the number reserved in the control
 * log, and that number never exceeds the exposure bound. The bound therefore
 * holds when messages, entries or leaders are lost: an entry sends no more than
 * its newest allowance, and a new leader counts everything that earlier leaders
 * reserved as spent.
 *
 * A state machine without clock, threads or sockets; not thread-safe.
 */
class AllowanceAccount
{
public:
  /** @param aSpent requests reserved by earlier leaders */
  explicit AllowanceAccount(std::uint64_t aSpent)
    : mSpent(aSpent)
  {
  }

  /**
   * Records the progress of an entry's process; aSequence is the last update
   * from this leader that it has applied. Requests that it can no longer use
   * become available again.
   */
  void RecordProgress(std::uint64_t aIncarnation,
                      const RolloutProgress& aProgress,
                      std::uint64_t aSequence);
  /**
   * Returns the entry's allowance for its next update. Raises it to aUnused
   * unused requests as far as aReserved permits.
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
    /** Sequence number of the last update that carried an allowance. */
    std::uint64_t mSequence = 0;
  };

  std::uint64_t mSpent;
  std::unordered_map<std::uint64_t, Holder> mHolders;
};

} // namespace peridotspool::rollout
