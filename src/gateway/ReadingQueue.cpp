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

// The delay of the engine is kept beside the plan, as each prompt that is read
// reports it anew. Moving the end of the plan instead would count the same
// delay once for each prompt, and idle engines would be avoided for seconds.
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
