#include "gateway/ConnectionAcceptor.h"

#include "gateway/SocketOptions.h"

#include <boost/asio/ip/address.hpp>

#include <utility>

namespace peridotspool::gateway {

namespace {

namespace net = http::net;

constexpr std::chrono::milliseconds kBackoff{ 20 };

} // namespace

ConnectionAcceptor::ConnectionAcceptor(net::io_context& aIo,
                                       Handler aOnConnection)
  : mAcceptor(aIo)
  , mBackoffTimer(aIo)
  , mOnConnection(std::move(aOnConnection))
{
}

bool
ConnectionAcceptor::Start(const Address& aListen, LastReason& aReason)
{
  http::ErrorCode error;
  const auto host = net::ip::make_address(aListen.mHost, error);
  if (!error) {
    error = ListenAt(mAcceptor, http::Tcp::endpoint(host, aListen.mPort));
  }
  if (error) {
    aReason.Set("cannot listen on " + ToText(aListen) + ": " + error.message());
    return false;
  }
  Accept();
  return true;
}

void
ConnectionAcceptor::Close()
{
  http::ErrorCode ignored;
  mAcceptor.close(ignored);
}

Address
ConnectionAcceptor::Listening() const
{
  const http::Tcp::endpoint local = mAcceptor.local_endpoint();
  return { local.address().to_string(), local.port() };
}

void
ConnectionAcceptor::Accept()
{
  mAcceptor.async_accept(
    [this](http::ErrorCode aError, http::Tcp::socket aSocket) {
      if (!mAcceptor.is_open()) {
        return;
      }
      if (aError) {
        // Probably out of descriptors; accepting again at once would busy-loop.
        mBackoffTimer.expires_after(kBackoff);
        mBackoffTimer.async_wait([this](http::ErrorCode aCancelled) {
          if (!aCancelled) {
            Accept();
          }
        });
        return;
      }
      mOnConnection(std::move(aSocket));
      Accept();
    });
}

} // namespace peridotspool::gateway
