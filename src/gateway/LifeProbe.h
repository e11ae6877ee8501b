#pragma once

#include "gateway/GatewayCore.h"
#include "peridotspool/base/Address.h"
#include "peridotspool/routing/CrashDetector.h"

namespace peridotspool::gateway {

/**
 * Tries one connection to the address of an upstream that lost an answer, and
 * tells the witness whether anybody listens there. Nothing is sent on it.
 */
void
ProbeLife(GatewayCore& aCore,
          const routing::UpstreamIncarnation& aLife,
          const Address& aAddress);

} // namespace peridotspool::gateway
