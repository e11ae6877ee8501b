#pragma once

#include "ledger/PeeringOutbox.h"
#include "ledger/Shard.h"
#include "peridotspool/ledger/Effect.h"
#include "peridotspool/ledger/LedgerCounters.h"
#include "peridotspool/ledger/LedgerOptions.h"
#include "peridotspool/ledger/Placement.h"

#include <map>
#include <set>
#include <vector>

namespace peridotspool::ledger {

/** State shared by the components of the ledger during a step. */
struct LedgerContext
{
  LedgerContext(MemberId aSelf, LedgerOptions aOptions);

  Shard& ShardAt(ShardId aShard);
  bool IsMember(MemberId aMember) const { return mMembers.contains(aMember); }
  bool IsDraining(MemberId aMember) const;
  void Send(MemberId aTo, Message aMessage);

  MemberId mSelf;
  LedgerOptions mOptions;
  TimePoint mNow;
  EpochNumber mEpoch;
  std::set<MemberId> mMembers;
  std::set<MemberId> mDraining;
  Placement mPlacement;
  std::vector<Shard> mShards;
  /** Bytes of records over all shards. */
  std::uint64_t mHeldBytes = 0;
  /**
   * Bytes of records held by other members, as of their last acknowledgement.
   */
  std::map<MemberId, std::uint64_t> mPeerBytes;
  LedgerCounters mCounters;
  PeeringOutbox mOutbox;
  Effects mEffects;
};

/**
 * Updates LedgerContext::mHeldBytes when a shard's records change within a
 * scope.
 */
class HeldBytesGuard
{
public:
  HeldBytesGuard(LedgerContext& aContext, const Shard& aShard)
    : mContext(aContext)
    , mShard(aShard)
  {
    mContext.mHeldBytes -= mShard.mStore.Bytes();
  }
  ~HeldBytesGuard() { mContext.mHeldBytes += mShard.mStore.Bytes(); }
  HeldBytesGuard(const HeldBytesGuard&) = delete;
  HeldBytesGuard& operator=(const HeldBytesGuard&) = delete;

private:
  LedgerContext& mContext;
  const Shard& mShard;
};

} // namespace peridotspool::ledger
