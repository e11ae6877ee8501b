#include "ledger/ShardReplica.h"

namespace peridotspool::ledger {

namespace {

/**
 * Maximum number of out-of-order operations of one shard that are held until an
 * earlier one arrives.
 */
constexpr std::size_t kMaxOutOfOrder = 256;

} // namespace

ShardReplica::ShardReplica(LedgerContext& aContext)
  : mContext(aContext)
{
}

// A primary that was cut off or suspended may still send under its old
// interval. It must not receive an acknowledgement, or it would report commits
// to callers that the present primary does not know about.
void
ShardReplica::OnReplicate(MemberId aFrom, const ReplicateMessage& aReplicate)
{
  Shard& shard = mContext.ShardAt(aReplicate.mShard);
  if (aReplicate.mInterval < shard.mInterval) {
    ++mContext.mCounters.mFenced;
    mContext.Send(
      aFrom,
      RefusedMessage{ { .mShard = shard.mId, .mInterval = shard.mInterval } });
    return;
  }
  if (aReplicate.mInterval != shard.mInterval || !shard.IsActive() ||
      shard.Primary() != aFrom) {
    return;
  }
  const SequenceNumber next = shard.mLog.Last().mSequence.Next();
  if (aReplicate.mSequence > next &&
      shard.mOutOfOrder.size() < kMaxOutOfOrder) {
    shard.mOutOfOrder.emplace(aReplicate.mSequence, aReplicate);
  }
  if (aReplicate.mSequence == next) {
    Apply(shard, aReplicate);
    auto early = shard.mOutOfOrder.begin();
    while (early != shard.mOutOfOrder.end() &&
           early->first <= shard.mLog.Last().mSequence.Next()) {
      if (early->first == shard.mLog.Last().mSequence.Next()) {
        Apply(shard, early->second);
      }
      early = shard.mOutOfOrder.erase(early);
    }
  }
  mContext.Send(aFrom,
                AckMessage{ .mShard = shard.mId,
                            .mInterval = shard.mInterval,
                            .mLast = shard.mLog.Last().mSequence,
                            .mHeldBytes = mContext.mHeldBytes });
}

void
ShardReplica::Apply(Shard& aShard, const ReplicateMessage& aReplicate)
{
  LogEntry entry{ .mVersion = { .mInterval = aReplicate.mInterval,
                                .mSequence = aReplicate.mSequence },
                  .mKey = std::nullopt };
  if (!std::holds_alternative<ReadOperation>(aReplicate.mOperation)) {
    const HeldBytesGuard guard(mContext, aShard);
    aShard.mStore.Apply(aReplicate.mKey,
                        aReplicate.mOperation,
                        aReplicate.mOrigin,
                        mContext.mOptions,
                        mContext.mNow);
    entry.mKey = aReplicate.mKey;
  }
  aShard.mLog.Append(std::move(entry), mContext.mOptions.mLogEntries);
}

} // namespace peridotspool::ledger
