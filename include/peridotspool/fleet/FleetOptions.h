#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/fleet/FleetIds.h"

#include <cstdint>

namespace peridotspool::fleet {

/** Times, bounds and weights of the fleet planner. */
struct FleetOptions
{
  /**
   * No decision is made before this time, because an earlier leader may still
   * be starting instances.
   */
  TimePoint mActAfter;
  /**
   * New start ids follow this one, so they differ from those of earlier
   * leaders.
   */
  StartId mLastStart;
  /**
   * Initial back-off of an offer whose start was refused; doubles with each
   * refusal, with jitter.
   */
  Duration mRefusalBackoff = std::chrono::seconds(5);
  Duration mMaxRefusalBackoff = std::chrono::minutes(5);
  /** A start without a response within this time counts as refused. */
  Duration mStartTimeout = std::chrono::minutes(3);
  /** Maximum number of pending starts over all services. */
  std::uint32_t mMaxStarting = 8;
  /** Cost of one reclaim at latency weight 1, in currency. */
  double mReclaimCost = 0.5;
  /** The weight of past reclaims halves after this time. */
  Duration mRecordHalfLife = std::chrono::hours(6);
  /** Value of a preferred domain, in currency per hour. */
  double mPreferenceValue = 0.2;
  /** Cost of having all instances in one domain, in currency per hour. */
  double mSpreadCost = 0.5;
  /** Adds one instance after the latency target was missed for this long. */
  Duration mGrowAfter = std::chrono::seconds(30);
  /**
   * Removes one instance after latency was below half of the target for this
   * long.
   */
  Duration mShrinkAfter = std::chrono::minutes(10);
  /** A surplus must last this long before one instance is drained. */
  Duration mSurplusDelay = std::chrono::minutes(2);
  std::uint64_t mRandomSeed = 1;
};

} // namespace peridotspool::fleet
