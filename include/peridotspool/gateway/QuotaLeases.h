#pragma once

#include "peridotspool/base/Address.h"
#include "peridotspool/base/Time.h"
#include "peridotspool/gateway/QuotaMessage.h"

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace peridotspool::gateway {

/**
 * Tracks the leases that the leader has sent to entries. An entry doesn't use
 * its fallback share of the limits while it holds a lease. It counts as leased
 * while a lease that it has confirmed can't have expired there; any other entry
 * may be using its fallback share.
 *
 * Does no I/O and reads no clock. Not thread-safe.
 */
class QuotaLeases
{
public:
  /** @param aAllocatorId identifies this leadership */
  QuotaLeases(std::uint64_t aAllocatorId, std::uint64_t aTerm);

  /** Sets the members of the newest epoch. */
  void SetEntries(const std::vector<Address>& aEntries, TimePoint aNow);
  /** Records the newest lease that an entry holds; returns its next one. */
  QuotaLease Renew(const Address& aEntry,
                   const QuotaLease& aHeld,
                   TimePoint aNow);
  /** Returns true iff the entry certainly uses no fallback share at aNow. */
  bool IsLeased(const Address& aEntry, TimePoint aNow) const;
  /** Updates the fallback totals below to aNow. */
  void Advance(TimePoint aNow);

  /** Returns the share of each limit's rate that unleased entries may use. */
  double FallbackShare() const { return mFallbackShare; }
  /** Returns the most they may have accrued, in seconds of a limit's rate. */
  double FallbackAccrual() const { return mFallbackAccrual; }
  std::size_t UnleasedEntries() const { return mUnleasedEntries; }
  std::size_t MemberCount() const { return mMemberCount; }

private:
  struct SentLease
  {
    std::uint64_t mNumber = 0;
    TimePoint mSentAt;
    std::uint32_t mFallbackDivisor = 0;
  };
  struct EntryState
  {
    bool mIsMember = false;
    /** Set for members, and for entries that have held any leader's lease. */
    bool mMayUseFallback = false;
    TimePoint mLeasedUntil;
    /** From the newest confirmed lease on. */
    std::deque<SentLease> mSentLeases;
    /** The smallest divisor (largest share) that it may have received. */
    std::uint32_t mMinFallbackDivisor = 0;
  };

  void Confirm(EntryState& aState, const QuotaLease& aHeld);

  std::uint64_t mAllocatorId;
  std::uint64_t mTerm;
  std::uint64_t mLastNumber = 0;
  /** The divisor of new leases; see QuotaLease. */
  std::uint32_t mFallbackDivisor = 1;
  std::size_t mMemberCount = 0;
  std::map<Address, EntryState> mEntries;
  double mFallbackShare = 0.0;
  double mFallbackAccrual = 0.0;
  std::size_t mUnleasedEntries = 0;
};

} // namespace peridotspool::gateway
