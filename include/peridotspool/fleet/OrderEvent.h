#pragma once

#include "peridotspool/base/Ids.h"
#include "peridotspool/fleet/EngineSetup.h"
#include "peridotspool/fleet/FleetIds.h"

#include <cstdint>
#include <variant>

namespace peridotspool::fleet {

/** An engine has registered, possibly as a new incarnation. */
struct EngineAnnouncedEvent
{
  UpstreamName mEngine;
  Incarnation mIncarnation;
  /**
   * True if the engine rejects old fencing numbers, according to its
   * announcement and the settings.
   */
  bool mChecksFencing = false;
};

struct EngineGoneEvent
{
  UpstreamName mEngine;
};

/** The desired setup of an engine; replaces an earlier one. */
struct DesiredSetupEvent
{
  UpstreamName mEngine;
  EngineSetup mSetup;
  /** Size of the model in the weight store. */
  std::uint64_t mModelBytes = 0;
  /**
   * Engines with a higher urgency are served first while the weight store is
   * the bottleneck.
   */
  double mUrgency = 0.0;
};

/** The response to ReadSetupEffect. */
struct SetupReadEvent
{
  ReadNumber mRead;
  UpstreamName mEngine;
  EngineSetup mSetup;
};

/** The control log has committed a fencing number for this order. */
struct FencingNumberIssuedEvent
{
  OrderId mOrder;
  FencingNumber mNumber;
};

enum class OrderOutcome
{
  kDone,
  kFailed,
  /**
   * The engine has seen a higher fencing number, so another leader issues
   * orders.
   */
  kStale,
};

struct OrderEndedEvent
{
  OrderId mOrder;
  OrderOutcome mOutcome = OrderOutcome::kDone;
};

/** Advances time; sent about every 100 ms. */
struct OrderTickEvent
{};

using OrderEvent = std::variant<EngineAnnouncedEvent,
                                EngineGoneEvent,
                                DesiredSetupEvent,
                                SetupReadEvent,
                                FencingNumberIssuedEvent,
                                OrderEndedEvent,
                                OrderTickEvent>;

} // namespace peridotspool::fleet
