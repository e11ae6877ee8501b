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
  return std::max(Duration(0), Duration(mReadAt - aNow));
}

TimePoint
ReadingQueue::Add(Duration aReading, TimePoint aNow)
{
  mReadAt = std::min(std::max(mReadAt, aNow) + aReading, aNow + kMostWait);
  return mReadAt;
}

void
ReadingQueue::Correct(TimePoint aExpected, TimePoint aNow)
{
  mReadAt = std::min(mReadAt + (aNow - aExpected), aNow + kMostWait);
}

} // namespace peridotspool::gateway
