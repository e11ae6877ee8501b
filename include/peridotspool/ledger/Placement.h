#pragma once

#include "peridotspool/base/RequestKey.h"
#include "peridotspool/membership/EpochMap.h"

#include <cstdint>
#include <vector>

namespace peridotspool::ledger {

/**
 * Assigns the shards of one epoch to entries by rendezvous hashing: each
 * process computes the same replica sets from the same member list, and a
 * member that joins or leaves changes only the sets that it enters or leaves.
 */
class Placement
{
public:
  Placement() = default;
  Placement(const membership::EpochMap& aMap, std::uint32_t aReplicas);

  /**
   * Returns the shard's replicas, the primary first, at most one for each
   * failure domain. Draining members are excluded unless there are no others.
   * Empty if there are no members.
   */
  const std::vector<MemberId>& ReplicasOf(ShardId aShard) const;
  /** Returns the primary, or an unset id if there are no members. */
  MemberId PrimaryOf(ShardId aShard) const;

private:
  std::vector<std::vector<MemberId>> mSets =
    std::vector<std::vector<MemberId>>(kShardCount);
};

} // namespace peridotspool::ledger
