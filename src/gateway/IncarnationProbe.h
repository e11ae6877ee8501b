#pragma once

#include "gateway/GatewayCore.h"
#include "peridotspool/base/Address.h"
#include "peridotspool/routing/CrashDetector.h"

namespace peridotspool::gateway {

/**
 * Opens one connection to the address of an upstream whose response was lost,
 * and reports to the crash witness whether it was accepted or refused. Sends
 * nothing on it.
 */
void
ProbeIncarnation(GatewayCore& aCore,
                 const routing::UpstreamIncarnation& aLife,
                 const Address& aAddress);

} // namespace peridotspool::gateway
