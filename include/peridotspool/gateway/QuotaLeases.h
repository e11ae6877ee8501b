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
 * The leader's side of the leases that keep entries from using their own parts
 * of the limits. An entry is covered while a lease that it has confirmed can't
 * have ended there; any other one may be using its own part.
 *
 * A pure step. Not thread-safe.
 */
class QuotaLeases
{
public:
  /** @param aAllocatorId names this time in the lead */
  QuotaLeases(std::uint64_t aAllocatorId, std::uint64_t aTerm);

  /** Takes the members of the newest epoch. */
  void SetEntries(const std::vector<Address>& aEntries, TimePoint aNow);
  /** Takes the newest lease that an entry holds, and makes its next one. */
  QuotaLease Renew(const Address& aEntry,
                   const QuotaLease& aHeld,
                   TimePoint aNow);
  /** Returns true iff the entry surely uses no own part at aNow. */
  bool IsLeased(const Address& aEntry, TimePoint aNow) const;
  /** Finds the entries whose cover has ended by aNow. */
  void Advance(TimePoint aNow);

  /** The share of each limit's rate that uncovered entries may be using. */
  double FallbackShare() const { return mFallbackShare; }
  /** What they may have saved up at most, in seconds of a limit's rate. */
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
    /** It has held a lease of some leader. */
    bool mMayUseFallback = false;
    TimePoint mLeasedUntil;
    std::deque<SentLease> mSentLeases;
    /** The largest own part that it may have been told of is one of these. */
    std::uint32_t mMinFallbackDivisor = 0;
  };

  void Confirm(EntryState& aState, const QuotaLease& aHeld);

  std::uint64_t mAllocatorId;
  std::uint64_t mTerm;
  std::uint64_t mLastNumber = 0;
  std::uint32_t mFallbackDivisor = 1;
  std::size_t mMemberCount = 0;
  std::map<Address, EntryState> mEntries;
  double mFallbackShare = 0.0;
  double mFallbackAccrual = 0.0;
  std::size_t mUnleasedEntries = 0;
};

} // namespace peridotspool::gateway
