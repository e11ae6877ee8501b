#pragma once

#include "ledger/LedgerContext.h"

namespace peridotspool::ledger {

/** Applies what a shard's primary replicates, in order, and acknowledges it. */
class ShardReplica
{
public:
  explicit ShardReplica(LedgerContext& aContext);

  void OnReplicate(MemberId aFrom, const ReplicateMessage& aReplicate);

private:
  void Apply(Shard& aShard, const ReplicateMessage& aReplicate);

  LedgerContext& mContext;
};

} // namespace peridotspool::ledger
