#pragma once

#include "peridotspool/base/Ids.h"
#include "peridotspool/base/Time.h"
#include "peridotspool/fleet/EngineSetup.h"
#include "peridotspool/fleet/FleetIds.h"

#include <string>
#include <variant>
#include <vector>

namespace peridotspool::fleet {

/**
 * Query the engine's setup. The response arrives as SetupReadEvent, or may be
 * lost.
 */
struct ReadSetupEffect
{
  ReadNumber mRead;
  UpstreamName mEngine;
};

/**
 * Request a fencing number from the control log; it arrives as
 * FencingNumberIssuedEvent.
 */
struct RequestFencingNumberEffect
{
  OrderId mOrder;
};

/** Send the order unless this process's clock has passed mNotAfter. */
struct SendOrderEffect
{
  OrderId mOrder;
  UpstreamName mEngine;
  FencingNumber mNumber;
  EngineSetup mSetup;
  TimePoint mNotAfter;
};

/** The reason why an order was issued or not, for the log. */
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
