#pragma once

#include "peridotspool/control/ConsensusEvent.h"
#include "peridotspool/control/OperatorRequest.h"
#include "peridotspool/membership/EntryMessage.h"

#include <variant>

namespace peridotspool::control {

/** A message was received from another control replica. */
struct FromReplicaEvent
{
  ReplicaEnvelope mEnvelope;
};

/** A message was received from an entry. */
struct FromEntryEvent
{
  membership::EntryEnvelope mEnvelope;
};

/**
 * A request of an operator or of the planner; answered by exactly one
 * ResponseEffect.
 */
struct OperatorEvent
{
  CallId mCall;
  OperatorRequest mRequest;
};

/** The host delivers a TickEvent about every 20 ms. */
using ControlEvent = std::variant<FromReplicaEvent,
                                  FromEntryEvent,
                                  OperatorEvent,
                                  SyncedEvent,
                                  TickEvent>;

} // namespace peridotspool::control
