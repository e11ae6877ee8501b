#include "peridotspool/gateway/ReadingQueue.h"

#include <algorithm>

namespace peridotspool::gateway {

namespace {

/** A belief that is further off than this is no ground for more of it. */
constexpr Duration kMostWait = std::chrono::seconds(10);

} // namespace

Duration
ReadingQueue::Wait(TimePoint aNow) const
{
  return std::max(Duration(0), Duration(mEnd + mLate - aNow));
}

TimePoint
ReadingQueue::Add(Duration aReading, TimePoint aNow)
{
  mEnd = std::min(aNow + Wait(aNow) + aReading, aNow + kMostWait) - mLate;
  return mEnd;
}

void
ReadingQueue::Take(Duration aWait, TimePoint aNow)
{
  mEnd = aNow + aWait - mLate;
}

// How late the engine is stands beside its plan, and each prompt that is read
// says it anew. Were the plan's end moved instead, ten prompts one behind the
// other would move it ten times for the same second, and engines with nothing
// to read would be shunned for seconds: after an overload of 8 s, 60 to 86 of
// 100 prompts came in time from 12 s after it on, and 99 do so
// (OverloadRecoveryTest).
void
ReadingQueue::WasRead(TimePoint aPlanned, TimePoint aNow)
{
  mLate = std::min(aNow - aPlanned, aNow + kMostWait - mEnd);
}

// Those that are given up have mostly waited longest, so all others come
// earlier by it.
void
ReadingQueue::Withdraw(Duration aReading)
{
  mLate -= aReading;
}

} // namespace peridotspool::gateway
