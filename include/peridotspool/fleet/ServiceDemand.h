#pragma once

#include "peridotspool/base/Ids.h"
#include "peridotspool/base/Time.h"
#include "peridotspool/fleet/FleetIds.h"

#include <boost/describe/class.hpp>
#include <compare>
#include <cstdint>
#include <vector>

namespace peridotspool::fleet {

/** What a service wants of the fleet; from the settings tree. */
struct ServiceDemand
{
  ServiceName mService;
  MachineClass mClass;
  /** Bounds of its instances; between them the latency target decides. */
  std::uint32_t mMinInstances = 1;
  std::uint32_t mMaxInstances = 1;
  /** 95th percentile of the time to the first token. */
  Duration mLatencyTarget = std::chrono::milliseconds(440);
  double mLatencyWeight = 1.0;
  double mCostWeight = 1.0;
  /** Failure domains near its callers; empty for no preference. */
  std::vector<FailureDomain> mPreferredDomains;
  /** Most of its instances in one domain, as a share. */
  double mMaxDomainShare = 0.5;

  auto operator<=>(const ServiceDemand&) const = default;
};
BOOST_DESCRIBE_STRUCT(ServiceDemand,
                      (),
                      (mService,
                       mClass,
                       mMinInstances,
                       mMaxInstances,
                       mLatencyTarget,
                       mLatencyWeight,
                       mCostWeight,
                       mPreferredDomains,
                       mMaxDomainShare))

} // namespace peridotspool::fleet
