#pragma once

#include <boost/describe/enum.hpp>

namespace peridotspool::ledger {

/**
 * Defines when an operation counts as committed. All entries use the same rule.
 */
enum class CommitRule
{
  /**
   * All replicas of the epoch's set hold the operation. Any surviving replica
   * suffices, but an unresponsive replica stalls the shard until a newer epoch
   * excludes it.
   */
  kAllReplicas,
  /**
   * The primary and one other replica hold the operation. An unresponsive
   * replica does not stall the shard, but losing these two loses committed
   * operations.
   */
  kPrimaryPlusOne,
};
BOOST_DESCRIBE_ENUM(CommitRule, kAllReplicas, kPrimaryPlusOne)

} // namespace peridotspool::ledger
