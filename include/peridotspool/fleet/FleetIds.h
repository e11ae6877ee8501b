#pragma once

#include "peridotspool/base/StrongId.h"

namespace peridotspool::fleet {

/** A machine class of the cloud, such as one with two accelerators. */
using MachineClass = NameId<struct MachineClassTag>;
/** The cloud's name of an instance. */
using InstanceName = NameId<struct InstanceNameTag>;
/** One wish for an instance; given to the cloud, so that resends are known. */
using StartId = NumberId<struct StartIdTag>;
/** One question for an engine's setup. */
using ReadNumber = NumberId<struct ReadNumberTag>;
/** One order to an engine. */
using OrderId = NumberId<struct OrderIdTag>;

} // namespace peridotspool::fleet
