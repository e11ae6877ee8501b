#pragma once

#include "peridotspool/base/Time.h"

#include <cstdint>

namespace peridotspool::routing {

/** Weights and bounds of the router; the weights come from the settings. */
struct RouterOptions
{
  /** What one second of expected waiting weighs. */
  double mLatencyWeight = 1.0;
  /** What one currency unit an hour weighs. */
  double mCostWeight = 0.1;
  /** How many upstreams are compared for one request. */
  std::uint32_t mCandidates = 4;
  std::uint64_t mRandomSeed = 1;
};

} // namespace peridotspool::routing
