#include "peridotspool/runtime/SystemClock.h"

#include <chrono>
#include <ctime>

namespace peridotspool::runtime {

TimePoint
ReadClock()
{
  // CLOCK_MONOTONIC stands still while the machine is suspended; a lease must
  // run out then as well.
  timespec time{};
  ::clock_gettime(CLOCK_BOOTTIME, &time);
  return TimePoint(std::chrono::duration_cast<Duration>(
    std::chrono::seconds(time.tv_sec) +
    std::chrono::nanoseconds(time.tv_nsec)));
}

std::int64_t
ReadWallMicros()
{
  return std::chrono::duration_cast<std::chrono::microseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

} // namespace peridotspool::runtime
