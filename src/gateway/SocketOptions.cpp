#include "gateway/SocketOptions.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace peridotspool::gateway {

namespace {

/** A connection is closed if sent bytes stay unacknowledged for this long. */
constexpr int kUnacknowledgedTimeoutMs = 4000;

} // namespace

void
SetSocketOptions(http::Tcp::socket& aSocket)
{
  http::ErrorCode ignored;
  aSocket.set_option(http::Tcp::no_delay(true), ignored);
  const int value = kUnacknowledgedTimeoutMs;
  ::setsockopt(aSocket.native_handle(),
               IPPROTO_TCP,
               TCP_USER_TIMEOUT,
               &value,
               sizeof(value));
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
