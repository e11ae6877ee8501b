#include "gateway/SocketOptions.h"

#include <boost/asio/ip/address.hpp>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <utility>

namespace peridotspool::gateway {

namespace {

/** A connection is closed if sent bytes stay unacknowledged for this long. */
constexpr int kUnacknowledgedTimeoutMs = 4000;

/** Several probes are sent within the time above, as one may be lost. */
constexpr int kKeepAliveIdleSeconds = 2;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kBacklog = 1024;

void
SetTcpOption(http::Tcp::socket& aSocket, int aOption, int aValue)
{
  ::setsockopt(
    aSocket.native_handle(), IPPROTO_TCP, aOption, &aValue, sizeof(aValue));
}

} // namespace

void
SetSocketOptions(http::Tcp::socket& aSocket)
{
  http::ErrorCode ignored;
  aSocket.set_option(http::Tcp::no_delay(true), ignored);
  SetTcpOption(aSocket, TCP_USER_TIMEOUT, kUnacknowledgedTimeoutMs);
}

void
SetKeepAlive(http::Tcp::socket& aSocket)
{
  http::ErrorCode ignored;
  aSocket.set_option(http::net::socket_base::keep_alive(true), ignored);
  SetTcpOption(aSocket, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  SetTcpOption(aSocket, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
}

void
StartConnect(http::Tcp::socket& aSocket,
             const Address& aTo,
             const std::string& aSourceHost,
             std::function<void(http::ErrorCode)> aOnDone)
{
  http::ErrorCode error;
  const auto host = http::net::ip::make_address(aTo.mHost, error);
  const http::Tcp::endpoint to(host, aTo.mPort);
  if (!error && !aSourceHost.empty()) {
    const auto source = http::net::ip::make_address(aSourceHost, error);
    if (!error) {
      aSocket.open(to.protocol(), error);
    }
    if (!error) {
      aSocket.bind(http::Tcp::endpoint(source, 0), error);
    }
  }
  if (error) {
    http::net::post(aSocket.get_executor(),
                    [call = std::move(aOnDone), error] { call(error); });
    return;
  }
  aSocket.async_connect(to, std::move(aOnDone));
}

http::ErrorCode
ListenAt(http::Tcp::acceptor& aAcceptor, const http::Tcp::endpoint& aEndpoint)
{
  http::ErrorCode error;
  aAcceptor.open(aEndpoint.protocol(), error);
  if (!error) {
    aAcceptor.set_option(http::net::socket_base::reuse_address(true), error);
    aAcceptor.bind(aEndpoint, error);
  }
  if (!error) {
    aAcceptor.listen(kBacklog, error);
  }
  return error;
}

bool
HasEofOrData(http::Tcp::socket& aSocket)
{
  char byte = 0;
  const auto got =
    ::recv(aSocket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

} // namespace peridotspool::gateway
