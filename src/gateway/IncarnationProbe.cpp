#include "gateway/IncarnationProbe.h"

#include <boost/asio/ip/address.hpp>

#include <memory>

namespace peridotspool::gateway {

namespace {

namespace net = http::net;

/** The address of a process that has ended refuses at once. A time-out is
 * inconclusive. */
constexpr Duration kProbeTimeout = std::chrono::milliseconds(500);

struct Probe
{
  explicit Probe(net::io_context& aIo)
    : mSocket(aIo)
    , mTimer(aIo)
  {
  }

  http::Tcp::socket mSocket;
  net::steady_timer mTimer;
};

} // namespace

void
ProbeIncarnation(GatewayCore& aCore,
                 const routing::UpstreamIncarnation& aLife,
                 const Address& aAddress)
{
  http::ErrorCode error;
  const auto host = net::ip::make_address(aAddress.mHost, error);
  if (error) {
    return;
  }
  const auto probe = std::make_shared<Probe>(aCore.mIo);
  probe->mTimer.expires_after(kProbeTimeout);
  probe->mTimer.async_wait([probe](http::ErrorCode aError) {
    if (!aError) {
      http::ErrorCode ignored;
      probe->mSocket.close(ignored);
    }
  });
  probe->mSocket.async_connect(
    { host, aAddress.mPort },
    [probe, &aCore, life = aLife](http::ErrorCode aError) {
      probe->mTimer.cancel();
      if (!aError) {
        aCore.mCrashWitness.Accepted(life);
      } else if (aError == net::error::connection_refused) {
        aCore.OnConnectionRefused(life);
      }
    });
}

} // namespace peridotspool::gateway
