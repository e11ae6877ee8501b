#pragma once

#include "peridotspool/base/Ids.h"
#include "peridotspool/base/Time.h"
#include "peridotspool/fleet/EngineSetup.h"
#include "peridotspool/fleet/FleetIds.h"

#include <string>
#include <variant>
#include <vector>

namespace peridotspool::fleet {

/** Ask the engine for its setup; answered by SetupReadEvent or not at all. */
struct ReadSetupEffect
{
  ReadNumber mRead;
  UpstreamName mEngine;
};

/** Take a number from the control log; answered by FencingNumberIssuedEvent. */
struct RequestFencingNumberEffect
{
  OrderId mOrder;
};

/** Send the order, unless mNotAfter has passed on this process's clock. */
struct SendOrderEffect
{
  OrderId mOrder;
  UpstreamName mEngine;
  FencingNumber mNumber;
  EngineSetup mSetup;
  TimePoint mNotAfter;
};

/** Why an order was given or not, for the log. */
struct OrderDecisionEffect
{
  UpstreamName mEngine;
  /** key=value pairs. */
  std::string mReason;
};

using OrderEffect = std::variant<ReadSetupEffect,
                                 RequestFencingNumberEffect,
                                 SendOrderEffect,
                                 OrderDecisionEffect>;
using OrderEffects = std::vector<OrderEffect>;

} // namespace peridotspool::fleet
