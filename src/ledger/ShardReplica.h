#pragma once

#include "ledger/LedgerContext.h"

namespace peridotspool::ledger {

/**
 * Applies the operations replicated by a shard's primary, in order, and
 * acknowledges them.
 */
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
