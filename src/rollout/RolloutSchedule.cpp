#include "peridotspool/rollout/RolloutSchedule.h"

#include <algorithm>

namespace peridotspool::rollout {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kShiftSteps = 2;
/**
 * Time until the leader knows that no request is running at the old version.
 */
constexpr Duration kReportsAndUpdates = milliseconds(1000);

} // namespace

RolloutSchedule
ScheduleFor(Duration aDuration, Duration aLongest)
{
  const Duration margin =
    std::clamp<Duration>(aDuration / 12, milliseconds(500), seconds(2));
  // The minimum drain time is long enough to replace a lost leader.
  const Duration drain = std::min(std::clamp(aLongest + kReportsAndUpdates,
                                             Duration(aDuration / 6),
                                             Duration(aDuration / 4)),
                                  Duration(seconds(6)));
  const Duration step = std::min<Duration>(aDuration / 16, seconds(2));
  const Duration finish = std::max(aDuration - margin, aDuration / 2);
  return { .mShiftAt = finish - drain - kShiftSteps * step,
           .mStepDuration = step,
           .mFinishBy = finish };
}

} // namespace peridotspool::rollout
