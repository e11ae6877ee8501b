#pragma once

#include "peridotspool/base/Ids.h"
#include "peridotspool/fleet/Offer.h"

#include <string>
#include <variant>
#include <vector>

namespace peridotspool::fleet {

/** Request an instance from the cloud. */
struct StartEffect
{
  StartId mStart;
  ServiceName mService;
  OfferKey mOffer;
};

/**
 * Stop sending new work to the instance's upstream and let running work finish.
 */
struct DrainInstanceEffect
{
  InstanceName mInstance;
};

/** Return an instance to the cloud after it was drained. */
struct StopInstanceEffect
{
  InstanceName mInstance;
};

/** The reason for a decision, for the log. */
struct DecisionEffect
{
  ServiceName mService;
  /** key=value pairs. */
  std::string mReason;
};

using FleetEffect = std::
  variant<StartEffect, DrainInstanceEffect, StopInstanceEffect, DecisionEffect>;
using FleetEffects = std::vector<FleetEffect>;

} // namespace peridotspool::fleet
