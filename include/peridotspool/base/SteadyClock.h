#pragma once

#include "peridotspool/base/Time.h"

namespace peridotspool {

/** Returns the present time for hosts of sockets; deciding code is told it. */
inline TimePoint
SteadyNow()
{
  return TimePoint(std::chrono::duration_cast<Duration>(
    std::chrono::steady_clock::now().time_since_epoch()));
}

} // namespace peridotspool
