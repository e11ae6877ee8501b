#include "peridotspool/gateway/PrefillQueue.h"

#include <algorithm>

namespace peridotspool::gateway {

namespace {

/** A belief that is further off than this is no ground for more of it. */
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

// The delay of the engine is kept beside the plan, as each prompt that is read
// reports it anew. Moving the end of the plan instead would count the same
// delay once for each prompt, and idle engines would be avoided for seconds.
void
PrefillQueue::RecordPrefillDone(TimePoint aPlanned, TimePoint aNow)
{
  mDelay = std::min(aNow - aPlanned, aNow + kMaxWait - mPlannedEnd);
}

// Those that are given up have mostly waited longest, so all others come
// earlier by it.
void
PrefillQueue::RemovePending(Duration aPrefillTime)
{
  mDelay -= aPrefillTime;
}

} // namespace peridotspool::gateway
