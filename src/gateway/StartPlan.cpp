#include "peridotspool/gateway/StartPlan.h"

namespace peridotspool::gateway {

StartPlan::StartPlan(StartPlanOptions aOptions, TimePoint aStartedAt)
  : mOptions(aOptions)
  , mStartedAt(aStartedAt)
{
}

// When all processes were killed at once they are back before a leader has been
// elected. A request refused then comes back after its latency objective, and
// once more while there are still no settings; half a second later it could
// have been served. An entry that has been up for longer and has no settings is
// cut off, and waiting would only make its refusals late.
std::optional<Duration>
StartPlan::MayWait(TimePoint aArrivedAt, TimePoint aNow) const
{
  const Duration waited = aNow - aArrivedAt;
  if (aArrivedAt - mStartedAt >= mOptions.mWithin ||
      waited >= mOptions.mWaitMost) {
    return std::nullopt;
  }
  return mOptions.mWaitMost - waited;
}

} // namespace peridotspool::gateway
