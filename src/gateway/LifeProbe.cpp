#include "gateway/LifeProbe.h"

#include <boost/asio/ip/address.hpp>

#include <memory>

namespace peridotspool::gateway {

namespace {

namespace net = http::net;

/** A process that is gone refuses at once; silence shows nothing. */
constexpr Duration kPatience = std::chrono::milliseconds(500);

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
ProbeLife(GatewayCore& aCore,
          const routing::UpstreamIncarnation& aLife,
          const Address& aAddress)
{
  http::ErrorCode error;
  const auto host = net::ip::make_address(aAddress.mHost, error);
  if (error) {
    return;
  }
  const auto probe = std::make_shared<Probe>(aCore.mIo);
  probe->mTimer.expires_after(kPatience);
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
        aCore.mWitness.Accepted(life);
      } else if (aError == net::error::connection_refused) {
        aCore.NoteRefused(life);
      }
    });
}

} // namespace peridotspool::gateway
