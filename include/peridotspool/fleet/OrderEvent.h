#pragma once

#include "peridotspool/base/Ids.h"
#include "peridotspool/fleet/EngineSetup.h"
#include "peridotspool/fleet/FleetIds.h"

#include <cstdint>
#include <variant>

namespace peridotspool::fleet {

/** An engine has announced itself, or comes back as a new incarnation. */
struct EngineAnnouncedEvent
{
  UpstreamName mEngine;
  Incarnation mIncarnation;
  /** From its announcement and the settings: it refuses old numbers. */
  bool mChecksFencing = false;
};

struct EngineGoneEvent
{
  UpstreamName mEngine;
};

/** What an engine is to become; replaces an earlier wish for it. */
struct DesiredSetupEvent
{
  UpstreamName mEngine;
  EngineSetup mSetup;
  /** Size of the model, fetched from the weight store. */
  std::uint64_t mModelBytes = 0;
  /** Higher goes first where the weight store is short. */
  double mUrgency = 0.0;
};

/** The answer to ReadSetupEffect. */
struct SetupReadEvent
{
  ReadNumber mRead;
  UpstreamName mEngine;
  EngineSetup mSetup;
};

/** The control log has committed a number for this order. */
struct FencingNumberIssuedEvent
{
  OrderId mOrder;
  FencingNumber mNumber;
};

enum class OrderOutcome
{
  kDone,
  kFailed,
  /** The engine has seen a higher number: another leader gives orders. */
  kStale,
};

struct OrderEndedEvent
{
  OrderId mOrder;
  OrderOutcome mOutcome = OrderOutcome::kDone;
};

/** Time has passed; about every 100 ms. */
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
