#pragma once

#include "peridotspool/base/Time.h"

#include <cstdint>

namespace peridotspool::runtime {

/**
 * Returns the present time of this process. Only hosts call it: the deciding
 * parts get the time as an argument. Counts on while the process is stopped,
 * so that one that was frozen finds its leases over when it wakes.
 */
TimePoint
ReadClock();

/** Returns the time of day in microseconds since 1970; it may jump. */
std::int64_t
ReadWallMicros();

} // namespace peridotspool::runtime
