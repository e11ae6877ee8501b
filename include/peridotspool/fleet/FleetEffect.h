#pragma once

#include "peridotspool/base/Ids.h"
#include "peridotspool/fleet/Offer.h"

#include <string>
#include <variant>
#include <vector>

namespace peridotspool::fleet {

/** Ask the cloud for an instance. */
struct StartEffect
{
  StartId mStart;
  ServiceName mService;
  OfferKey mOffer;
};

/** Let the instance's upstream finish what it has and take nothing new. */
struct DrainInstanceEffect
{
  InstanceName mInstance;
};

/** Give the instance back to the cloud; it was drained before. */
struct StopInstanceEffect
{
  InstanceName mInstance;
};

/** Why something was decided, for the log. */
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
