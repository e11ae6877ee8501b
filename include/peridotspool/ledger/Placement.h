#pragma once

#include "peridotspool/base/RequestKey.h"
#include "peridotspool/membership/EpochMap.h"

#include <cstdint>
#include <vector>

namespace peridotspool::ledger {

/**
 * Which entries hold which shard in one epoch. Rendezvous hashing: each process
 * finds the same sets from the same member list, and one member's coming or
 * going changes only the sets that it enters or leaves.
 */
class Placement
{
public:
  Placement() = default;
  Placement(const membership::EpochMap& aMap, std::uint32_t aReplicas);

  /**
   * Returns the shard's replicas, the primary first, no two in one failure
   * domain. Draining members are left out unless there are no others. Empty
   * without members.
   */
  const std::vector<MemberId>& ReplicasOf(ShardId aShard) const;
  /** Returns the primary, or an unset id without members. */
  MemberId PrimaryOf(ShardId aShard) const;

private:
  std::vector<std::vector<MemberId>> mSets =
    std::vector<std::vector<MemberId>>(kShardCount);
};

} // namespace peridotspool::ledger
