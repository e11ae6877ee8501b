#include "ledger/LedgerContext.h"

#include "peridotspool/base/Invariant.h"

#include <utility>

namespace peridotspool::ledger {

LedgerContext::LedgerContext(MemberId aSelf, LedgerOptions aOptions)
  : mSelf(aSelf)
  , mOptions(aOptions)
  , mShards(kShardCount)
{
  for (std::uint64_t i = 0; i < kShardCount; ++i) {
    mShards[i].mId = ShardId(i);
  }
}

Shard&
LedgerContext::ShardAt(ShardId aShard)
{
  PERIDOTSPOOL_INVARIANT(aShard.Value() < mShards.size());
  return mShards[aShard.Value()];
}

bool
LedgerContext::IsDraining(MemberId aMember) const
{
  return mDraining.contains(aMember);
}

void
LedgerContext::Send(MemberId aTo, Message aMessage)
{
  mEffects.emplace_back(
    SendEffect{ .mTo = aTo, .mMessage = std::move(aMessage) });
}

} // namespace peridotspool::ledger
