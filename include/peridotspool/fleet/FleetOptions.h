#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/fleet/FleetIds.h"

#include <cstdint>

namespace peridotspool::fleet {

/** Times, bounds and weights of the fleet planner. */
struct FleetOptions
{
  /** Nothing is decided before; an earlier leader may still be at work. */
  TimePoint mActAfter;
  /** Start ids go on after this one; unlike those of earlier leaders. */
  StartId mLastStart;
  /** A refused offer is left alone for this long, doubling, with jitter. */
  Duration mRefusalBackoff = std::chrono::seconds(5);
  Duration mMaxRefusalBackoff = std::chrono::minutes(5);
  /** Starts without an answer for this long count as refused. */
  Duration mStartTimeout = std::chrono::minutes(3);
  /** Starts under way at once, over all services. */
  std::uint32_t mMaxStarting = 8;
  /** What one reclaim costs at latency weight 1, in currency. */
  double mReclaimCost = 0.5;
  /** Reclaims count half after this long. */
  Duration mRecordHalfLife = std::chrono::hours(6);
  /** What a preferred domain is worth, in currency an hour. */
  double mPreferenceValue = 0.2;
  /** What having all instances in one domain costs, in currency an hour. */
  double mSpreadCost = 0.5;
  /** Too slow for this long: one instance more. */
  Duration mGrowAfter = std::chrono::seconds(30);
  /** Twice as fast as needed for this long: one instance less. */
  Duration mShrinkAfter = std::chrono::minutes(10);
  /** A surplus is kept for this long before one instance is drained. */
  Duration mSurplusDelay = std::chrono::minutes(2);
  std::uint64_t mRandomSeed = 1;
};

} // namespace peridotspool::fleet
