#pragma once

#include "ledger/LedgerContext.h"

namespace peridotspool::ledger {

/** Fills a copy from another member's, and lets others fill theirs from here.
 */
class CopyTransfer
{
public:
  explicit CopyTransfer(LedgerContext& aContext);

  /** Begins to fill the shard's copy, or goes on if it is under way. */
  void Start(Shard& aShard, MemberId aSource);
  /** Returns true iff this part completed the copy. */
  bool OnChunk(MemberId aFrom, const ChunkMessage& aChunk);
  void OnPull(MemberId aFrom, const PullMessage& aPull);
  /** Asks again where no answer came. */
  void OnTick(Shard& aShard);

private:
  void Pull(Shard& aShard);
  void Stage(Shard& aShard, const ChunkMessage& aChunk);
  void Complete(Shard& aShard, const ChunkMessage& aLast);

  LedgerContext& mContext;
};

} // namespace peridotspool::ledger
