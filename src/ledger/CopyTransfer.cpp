#include "ledger/CopyTransfer.h"

#include <set>
#include <utility>

namespace peridotspool::ledger {

namespace {

/** Collects records in key order until a chunk is full. */
class ChunkBuilder
{
public:
  ChunkBuilder(ChunkMessage& aChunk,
               const LedgerContext& aContext,
               const RecordStore& aStore)
    : mChunk(aChunk)
    , mContext(aContext)
    , mStore(aStore)
  {
  }

  /**
   * Adds the state of one key. Returns false if the chunk is full afterwards.
   */
  bool Add(const RequestKey& aKey)
  {
    const StoredRecord* stored = mStore.Find(aKey);
    if (stored == nullptr) {
      mChunk.mRemoved.push_back(aKey);
      mBytes += aKey.mKey.size();
    } else {
      mChunk.mRecords.push_back(CopyOf(*stored, mContext.mNow));
      mBytes += stored->mBytes;
    }
    mLastKey = aKey;
    return mBytes < mContext.mOptions.mChunkBytes;
  }

  const std::optional<RequestKey>& LastKey() const { return mLastKey; }

private:
  ChunkMessage& mChunk;
  const LedgerContext& mContext;
  const RecordStore& mStore;
  std::uint64_t mBytes = 0;
  std::optional<RequestKey> mLastKey;
};

/**
 * Adds the keys of a range after the chunk's mAfter. Sets mNext to the last key
 * added if more keys remain.
 */
void
AddKeys(ChunkBuilder& aBuilder,
        ChunkMessage& aChunk,
        const auto& aSortedKeys,
        const auto& aKeyOf)
{
  auto next = aChunk.mAfter ? aSortedKeys.upper_bound(*aChunk.mAfter)
                            : aSortedKeys.begin();
  bool hasRoom = true;
  while (hasRoom && next != aSortedKeys.end()) {
    hasRoom = aBuilder.Add(aKeyOf(*next));
    ++next;
  }
  if (next != aSortedKeys.end()) {
    aChunk.mNext = aBuilder.LastKey();
  }
}

void
AddChanges(ChunkBuilder& aBuilder,
           ChunkMessage& aChunk,
           std::vector<LogEntry> aLog)
{
  std::set<RequestKey> keys;
  for (const LogEntry& entry : aLog) {
    if (entry.mKey) {
      keys.insert(*entry.mKey);
    }
  }
  AddKeys(
    aBuilder, aChunk, keys, [](const RequestKey& aKey) -> const auto& {
      return aKey;
    });
  if (!aChunk.mNext) {
    aChunk.mLog = std::move(aLog);
  }
}

} // namespace

CopyTransfer::CopyTransfer(LedgerContext& aContext)
  : mContext(aContext)
{
}

void
CopyTransfer::Start(Shard& aShard, MemberId aSource)
{
  if (!aShard.mFill || aShard.mFill->mSource != aSource) {
    aShard.mFill = ShardFill();
    aShard.mFill->mSource = aSource;
    Pull(aShard);
  }
}

void
CopyTransfer::Pull(Shard& aShard)
{
  ShardFill& fill = *aShard.mFill;
  fill.mNextResend = mContext.mNow + mContext.mOptions.mResendInterval;
  mContext.Send(fill.mSource,
                PullMessage{ .mShard = aShard.mId,
                             .mInterval = aShard.mInterval,
                             .mHeld = aShard.mLog.Last(),
                             .mAfter = fill.mAfter });
}

void
CopyTransfer::OnTick(Shard& aShard)
{
  if (aShard.mFill && aShard.mFill->mNextResend <= mContext.mNow) {
    ++mContext.mCounters.mResent;
    Pull(aShard);
  }
}

// The copy must not change between the parts of a transfer. This holds because
// it is served only for an interval in which this entry has not begun to serve,
// and operations of earlier intervals are rejected from then on.
void
CopyTransfer::OnPull(MemberId aFrom, const PullMessage& aPull)
{
  Shard& shard = mContext.ShardAt(aPull.mShard);
  if (mContext.mEpoch < aPull.mInterval || shard.mServing) {
    return;
  }
  if (aPull.mInterval < shard.mInterval) {
    ++mContext.mCounters.mFenced;
    mContext.Send(
      aFrom,
      RefusedMessage{ { .mShard = shard.mId, .mInterval = shard.mInterval } });
    return;
  }
  ChunkMessage chunk{ .mShard = shard.mId,
                      .mInterval = aPull.mInterval,
                      .mAfter = aPull.mAfter,
                      .mWhole = !aPull.mHeld.mSequence.IsSet() ||
                                !shard.mLog.Knows(aPull.mHeld),
                      .mTarget = shard.mLog.Last(),
                      .mRecords = {},
                      .mRemoved = {},
                      .mNext = std::nullopt,
                      .mLog = {} };
  ChunkBuilder builder(chunk, mContext, shard.mStore);
  if (chunk.mWhole) {
    AddKeys(
      builder,
      chunk,
      shard.mStore.All(),
      [](const auto& aEntry) -> const RequestKey& { return aEntry.first; });
  } else {
    AddChanges(builder, chunk, shard.mLog.After(aPull.mHeld));
  }
  mContext.Send(aFrom, std::move(chunk));
}

bool
CopyTransfer::OnChunk(MemberId aFrom, const ChunkMessage& aChunk)
{
  Shard& shard = mContext.ShardAt(aChunk.mShard);
  const bool expected = shard.mFill && shard.mFill->mSource == aFrom &&
                        aChunk.mInterval == shard.mInterval &&
                        aChunk.mAfter == shard.mFill->mAfter;
  if (!expected) {
    return false;
  }
  ShardFill& fill = *shard.mFill;
  if (fill.mTarget && *fill.mTarget != aChunk.mTarget) {
    // The source's copy changed between two parts: restarts the fill.
    shard.mFill.reset();
    Start(shard, aFrom);
    return false;
  }
  Stage(shard, aChunk);
  if (aChunk.mNext) {
    fill.mAfter = aChunk.mNext;
    Pull(shard);
    return false;
  }
  Complete(shard, aChunk);
  return true;
}

void
CopyTransfer::Stage(Shard& aShard, const ChunkMessage& aChunk)
{
  ShardFill& fill = *aShard.mFill;
  fill.mTarget = aChunk.mTarget;
  for (const RecordCopy& copy : aChunk.mRecords) {
    fill.mRecords.push_back({ .mCopy = copy, .mReceivedAt = mContext.mNow });
  }
  fill.mRemoved.insert(
    fill.mRemoved.end(), aChunk.mRemoved.begin(), aChunk.mRemoved.end());
}

void
CopyTransfer::Complete(Shard& aShard, const ChunkMessage& aLast)
{
  const HeldBytesGuard guard(mContext, aShard);
  const ShardFill fill = std::move(*aShard.mFill);
  aShard.mFill.reset();
  if (aLast.mWhole) {
    aShard.mStore = RecordStore();
    aShard.mLog.Restart(aLast.mTarget);
    ++mContext.mCounters.mFullFills;
  } else {
    for (const LogEntry& entry : aLast.mLog) {
      aShard.mLog.Append(entry, mContext.mOptions.mLogEntries);
    }
    ++mContext.mCounters.mDeltaFills;
  }
  for (const RequestKey& key : fill.mRemoved) {
    aShard.mStore.Remove(key);
  }
  for (const StagedRecord& staged : fill.mRecords) {
    aShard.mStore.Put(staged.mCopy, mContext.mOptions, staged.mReceivedAt);
  }
}

} // namespace peridotspool::ledger
