#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/ledger/PeeringMessage.h"

#include <map>
#include <set>

namespace peridotspool::ledger {

/** The phase of a primary's peering round for a shard. */
enum class PeeringPhase
{
  /** Queries the members for the copies that they hold. */
  kQuerying,
  /** Fills its own copy from the newest one. */
  kFilling,
  /** Waits until all replicas have recorded the activation of the interval. */
  kActivating,
};

/** A primary's state from the start of a new interval until it serves. */
struct PeeringRound
{
  PeeringPhase mPhase = PeeringPhase::kQuerying;
  std::map<MemberId, ShardReport> mReports;
  std::set<MemberId> mActivated;
  /**
   * True once all members, rather than only the likely holders, have been
   * queried.
   */
  bool mQueriedAll = false;
  /** True once the newest copy found may lack committed operations. */
  bool mMayMissCommits = false;
  TimePoint mNextResend;
};

} // namespace peridotspool::ledger
