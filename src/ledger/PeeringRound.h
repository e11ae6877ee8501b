#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/ledger/PeeringMessage.h"

#include <map>
#include <set>

namespace peridotspool::ledger {

/** How far a primary has come with taking charge of a shard. */
enum class PeeringPhase
{
  /** Asks the members what they hold. */
  kQuerying,
  /** Fills its own copy from the newest. */
  kFilling,
  /** Waits until all replicas have recorded the activation. */
  kActivating,
};

/** A primary's work between a new interval and serving in it. */
struct PeeringRound
{
  PeeringPhase mPhase = PeeringPhase::kQuerying;
  std::map<MemberId, ShardReport> mReports;
  std::set<MemberId> mActivated;
  /** True once all members are asked, not just the likely holders. */
  bool mQueriedAll = false;
  /** True once the newest copy found may lack what was committed. */
  bool mMayMissCommits = false;
  TimePoint mNextResend;
};

} // namespace peridotspool::ledger
