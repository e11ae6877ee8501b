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
  /** @param aGrantor names this time in the lead */
  QuotaLeases(std::uint64_t aGrantor, std::uint64_t aTerm);

  /** Takes the members of the newest epoch. */
  void UseEntries(const std::vector<Address>& aEntries, TimePoint aNow);
  /** Takes the newest lease that an entry holds, and makes its next one. */
  QuotaLease Renew(const Address& aEntry,
                   const QuotaLease& aHeld,
                   TimePoint aNow);
  /** Returns true iff the entry surely uses no own part at aNow. */
  bool Covers(const Address& aEntry, TimePoint aNow) const;
  /** Finds the entries whose cover has ended by aNow. */
  void Advance(TimePoint aNow);

  /** The share of each limit's rate that uncovered entries may be using. */
  double OwnPart() const { return mOwnPart; }
  /** What they may have saved up at most, in seconds of a limit's rate. */
  double OwnSaved() const { return mOwnSaved; }
  std::size_t Uncovered() const { return mUncovered; }
  std::size_t Entries() const { return mMembers; }

private:
  struct Sent
  {
    std::uint64_t mNumber = 0;
    TimePoint mAt;
    std::uint32_t mParts = 0;
  };
  struct Holder
  {
    bool mMember = false;
    /** It has held a lease of some leader. */
    bool mMayUse = false;
    TimePoint mCoveredUntil;
    std::deque<Sent> mSent;
    /** The largest own part that it may have been told of is one of these. */
    std::uint32_t mLeastParts = 0;
  };

  void Confirm(Holder& aHolder, const QuotaLease& aHeld);

  std::uint64_t mGrantor;
  std::uint64_t mTerm;
  std::uint64_t mLastNumber = 0;
  std::uint32_t mParts = 1;
  std::size_t mMembers = 0;
  std::map<Address, Holder> mHolders;
  double mOwnPart = 0.0;
  double mOwnSaved = 0.0;
  std::size_t mUncovered = 0;
};

} // namespace peridotspool::gateway
