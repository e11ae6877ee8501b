#pragma once

#include "peridotspool/base/Time.h"

namespace peridotspool::limits {

/** A permit is used at most this long after it was requested. */
constexpr Duration kPermitLifetime = std::chrono::milliseconds(600);
/** A request waits for a permit at most this long at its coordinator. */
constexpr Duration kMaxPermitWait = std::chrono::milliseconds(500);
/** An entry acts as coordinator of limited upstreams for this long after the
 * leader last confirmed that it knows the newest epoch. */
constexpr Duration kCoordinatorLease = std::chrono::milliseconds(1000);
/** A new coordinator grants nothing for this long, by when the lease of any
 * earlier one has expired on its clock. */
constexpr Duration kTakeoverDelay = std::chrono::milliseconds(1050);

} // namespace peridotspool::limits
