#include "gateway/IncarnationProbe.h"

namespace peridotspool::gateway {

namespace {

/** The address of a process that has ended refuses at once. A time-out is
 * inconclusive. */
constexpr Duration kProbeTimeout = std::chrono::milliseconds(500);

} // namespace

// The dialer asks other entries as well: a refusal that only this entry sees
// may come from its own path.
void
ProbeIncarnation(GatewayCore& aCore,
                 const routing::UpstreamIncarnation& aLife,
                 const Address& aAddress)
{
  aCore.mDialer.Dial({ .mName = aLife.mName,
                       .mIncarnation = aLife.mIncarnation,
                       .mAddress = aAddress },
                     kProbeTimeout,
                     [&aCore, life = aLife](DialResult aResult) {
                       http::ErrorCode ignored;
                       aResult.mSocket.close(ignored);
                       if (!aResult.mFailure) {
                         aCore.OnUpstreamAlive(life);
                       } else if (aResult.mFailure->mRefused) {
                         aCore.OnConnectionRefused(life);
                       }
                     });
}

} // namespace peridotspool::gateway
