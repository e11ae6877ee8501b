#pragma once

#include "peridotspool/base/Ids.h"
#include "peridotspool/base/Time.h"
#include "peridotspool/fleet/FleetIds.h"

#include <boost/describe/class.hpp>
#include <compare>
#include <cstdint>
#include <vector>

namespace peridotspool::fleet {

/** A service's requirements for its instances, from the settings. */
struct ServiceDemand
{
  ServiceName mService;
  MachineClass mClass;
  /**
   * Bounds of the number of instances; between them the latency target decides.
   */
  std::uint32_t mMinInstances = 1;
  std::uint32_t mMaxInstances = 1;
  /** 95th percentile of the time to the first token. */
  Duration mLatencyTarget = std::chrono::milliseconds(440);
  double mLatencyWeight = 1.0;
  double mCostWeight = 1.0;
  /** Failure domains close to the callers; empty for no preference. */
  std::vector<FailureDomain> mPreferredDomains;
  /** Maximum share of the service's instances in one failure domain. */
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
