#pragma once

#include "peridotspool/base/Time.h"

#include <compare>

namespace peridotspool::rollout {

/** When the stages of a rollout begin, relative to its order. */
struct RolloutSchedule
{
  /** Until then the new version gets few requests, by which it is evaluated. */
  Duration mShiftAt{ 0 };
  /** The share then increases in steps of this length. */
  Duration mStepDuration{ 0 };
  /** Requests running at the old version may continue until then. */
  Duration mFinishBy{ 0 };

  auto operator<=>(const RolloutSchedule&) const = default;
};

/**
 * Plans backwards from the duration: the new version is watched for the time
 * that remains after the shift, the drain of the old version and the commit.
 *
 * @param aLongest how long most answers take; the drain gets about that long,
 * between a sixth and a quarter of the duration
 */
RolloutSchedule
ScheduleFor(Duration aDuration, Duration aLongest);

} // namespace peridotspool::rollout
