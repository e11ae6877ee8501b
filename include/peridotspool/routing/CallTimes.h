#pragma once

#include "peridotspool/base/Ids.h"
#include "peridotspool/base/Time.h"

#include <unordered_map>

namespace peridotspool::routing {

/**
 * How long calls usually take at the upstreams of each service, as one entry
 * sees it.
 *
 * Reads no clock. Not thread-safe.
 */
class CallTimes
{
public:
  void Record(const ServiceName& aService, Duration aTook);
  /** Returns 0 while no call has ended. */
  Duration Usual(const ServiceName& aService) const;

private:
  std::unordered_map<ServiceName, Duration> mMeans;
};

} // namespace peridotspool::routing
