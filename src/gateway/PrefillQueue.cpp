#include "peridotspool/gateway/PrefillQueue.h"

#include <algorithm>

namespace peridotspool::gateway {

namespace {

/**
 * Bounds the estimate, so that a wrong one cannot exclude an engine for long.
 */
constexpr Duration kMaxWait = std::chrono::seconds(10);

} // namespace

Duration
PrefillQueue::Wait(TimePoint aNow) const
{
  return std::max(Duration(0), Duration(mPlannedEnd + mDelay - aNow));
}

TimePoint
PrefillQueue::Add(Duration aPrefillTime, TimePoint aNow)
{
  mPlannedEnd =
    std::min(aNow + Wait(aNow) + aPrefillTime, aNow + kMaxWait) - mDelay;
  return mPlannedEnd;
}

void
PrefillQueue::SetWait(Duration aWait, TimePoint aNow)
{
  mPlannedEnd = aNow + aWait - mDelay;
}

// The delay is kept separate from the plan because each finished prefill
// reports it anew. Moving the planned end instead would count the same delay
// once for each prompt, and idle engines would be avoided for seconds.
void
PrefillQueue::RecordPrefillDone(TimePoint aPlanned, TimePoint aNow)
{
  mDelay = std::min(aNow - aPlanned, aNow + kMaxWait - mPlannedEnd);
}

// Cancelled prompts are mostly those that have waited longest, so all others
// start earlier by this time.
void
PrefillQueue::RemovePending(Duration aPrefillTime)
{
  mDelay -= aPrefillTime;
}

} // namespace peridotspool::gateway
