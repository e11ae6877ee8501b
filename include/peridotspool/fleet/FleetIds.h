#pragma once

#include "peridotspool/base/StrongId.h"

namespace peridotspool::fleet {

/** A machine class of the cloud, such as one with two accelerators. */
using MachineClass = NameId<struct MachineClassTag>;
/** The cloud's name for an instance. */
using InstanceName = NameId<struct InstanceNameTag>;
/**
 * One request for an instance. The cloud receives the id as well and recognizes
 * retries by it.
 */
using StartId = NumberId<struct StartIdTag>;
/** One query for an engine's setup. */
using ReadNumber = NumberId<struct ReadNumberTag>;
/** One order to an engine. */
using OrderId = NumberId<struct OrderIdTag>;

} // namespace peridotspool::fleet
