#pragma once

#include "peridotspool/control/ConsensusEvent.h"
#include "peridotspool/control/OperatorRequest.h"
#include "peridotspool/membership/EntryMessage.h"

#include <variant>

namespace peridotspool::control {

/** A message came from another control replica. */
struct FromReplicaEvent
{
  ReplicaEnvelope mEnvelope;
};

/** A message came from an entry. */
struct FromEntryEvent
{
  membership::EntryEnvelope mEnvelope;
};

/** An operator (or the planner) asks; answered by one ResponseEffect. */
struct OperatorEvent
{
  CallId mCall;
  OperatorRequest mRequest;
};

/** TickEvent is to come about every 20 ms. */
using ControlEvent = std::variant<FromReplicaEvent,
                                  FromEntryEvent,
                                  OperatorEvent,
                                  SyncedEvent,
                                  TickEvent>;

} // namespace peridotspool::control
