// Upstreams that want no requests from this entry.

#include "gateway/GatewayCore.h"

namespace peridotspool::gateway {

using observe::EventId;

void
GatewayCore::RecordRest(const UpstreamName& aUpstream,
                        Incarnation aIncarnation,
                        Duration aRest)
{
  if (!mWithdrawn.RecordRest(aUpstream, aIncarnation, aRest, mNow())) {
    return;
  }
  mLogger.Log(EventId::kUpstreamWithdrawn,
              { { "upstream", aUpstream },
                { "incarnation", aIncarnation },
                { "reason", "rest" },
                { "rest_ms", aRest } });
}

void
GatewayCore::RecordLeaving(const UpstreamName& aUpstream,
                           Incarnation aIncarnation)
{
  if (!mWithdrawn.RecordLeaving(aUpstream, aIncarnation, mNow())) {
    return;
  }
  mLogger.Log(EventId::kUpstreamWithdrawn,
              { { "upstream", aUpstream },
                { "incarnation", aIncarnation },
                { "reason", "leaves" },
                { "rest_ms", Duration(0) } });
}

} // namespace peridotspool::gateway
