#pragma once

#include "peridotspool/rollout/Rollout.h"

#include <vector>

namespace peridotspool::rollout {

/**
 * All rollouts that were ordered. The table is part of the replicated state, so
 * acknowledged orders survive the loss of any process. It is bounded: the
 * oldest ended rollouts of a service are dropped, except the one that set the
 * current version.
 */
struct RolloutTable
{
  /**
   * Increases with each start or end of a rollout. A process without any table
   * has 0.
   */
  std::uint64_t mNumber = 1;
  RolloutId mLastId;
  /** In the order in which they were ordered. */
  std::vector<Rollout> mRollouts;

  OrderVerdict Start(const RolloutOrder& aOrder);
  /** Returns false iff the rollout is not running. */
  bool End(const RolloutEnd& aEnd);
  void Advance(const RolloutAdvance& aAdvance);

  const Rollout* Find(RolloutId aId) const;
  /** Null if no rollout was ever ordered for the service. */
  const Rollout* Latest(const ServiceName& aService) const;
  /** The version of the last completed rollout; unset if there is none. */
  VersionName Current(const ServiceName& aService) const;
  /** Versions whose last rollout was rolled back. */
  std::vector<VersionName> RolledBack(const ServiceName& aService) const;
  /** Services with a rollout, each once. */
  std::vector<ServiceName> Services() const;

  auto operator<=>(const RolloutTable&) const = default;
};
BOOST_DESCRIBE_STRUCT(RolloutTable, (), (mNumber, mLastId, mRollouts))

} // namespace peridotspool::rollout
