#pragma once

#include <boost/describe/enum.hpp>

namespace peridotspool::ledger {

/** When an operation counts as committed. All entries use the same rule. */
enum class CommitRule
{
  /**
   * All replicas of the epoch's set hold it: any survivor suffices, but a
   * silent replica stalls the shard until a newer epoch leaves it out.
   */
  kAllReplicas,
  /** The primary and one more hold it: no stall, but a window of loss. */
  kPrimaryPlusOne,
};
BOOST_DESCRIBE_ENUM(CommitRule, kAllReplicas, kPrimaryPlusOne)

} // namespace peridotspool::ledger
