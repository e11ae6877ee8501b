#pragma once

#include "ledger/LedgerContext.h"

namespace peridotspool::ledger {

/**
 * Fills a copy from another member's copy, and serves this entry's copies to
 * other members.
 */
class CopyTransfer
{
public:
  explicit CopyTransfer(LedgerContext& aContext);

  /**
   * Starts to fill the shard's copy, or continues if a fill from this source is
   * in progress.
   */
  void Start(Shard& aShard, MemberId aSource);
  /** Processes one part; returns true iff it completes the copy. */
  bool OnChunk(MemberId aFrom, const ChunkMessage& aChunk);
  void OnPull(MemberId aFrom, const PullMessage& aPull);
  /** Resends the request for a part that has not arrived in time. */
  void OnTick(Shard& aShard);

private:
  void Pull(Shard& aShard);
  void Stage(Shard& aShard, const ChunkMessage& aChunk);
  void Complete(Shard& aShard, const ChunkMessage& aLast);

  LedgerContext& mContext;
};

} // namespace peridotspool::ledger
