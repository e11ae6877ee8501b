// ctest-labels: unit
#include "gateway/SocketOptions.h"

#include <catch2/catch.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace peridotspool::gateway {

namespace {

int
OptionOf(http::Tcp::socket& aSocket, int aLevel, int aOption)
{
  int value = 0;
  socklen_t size = sizeof(value);
  REQUIRE(
    ::getsockopt(aSocket.native_handle(), aLevel, aOption, &value, &size) == 0);
  return value;
}

} // namespace

// Guards against idle connections that outlive their peer because
// TCP_USER_TIMEOUT overrides the number of keep-alive probes.
TEST_CASE("KeepAliveProbesFailWithinTheUnacknowledgedTimeout")
{
  http::net::io_context io;
  http::Tcp::socket socket(io, http::Tcp::v4());
  SetSocketOptions(socket);
  SetKeepAlive(socket);
  CHECK(OptionOf(socket, SOL_SOCKET, SO_KEEPALIVE) == 1);
  const int timeoutMs = OptionOf(socket, IPPROTO_TCP, TCP_USER_TIMEOUT);
  const int idleMs = 1000 * OptionOf(socket, IPPROTO_TCP, TCP_KEEPIDLE);
  const int intervalMs = 1000 * OptionOf(socket, IPPROTO_TCP, TCP_KEEPINTVL);
  INFO("expected two probes within TCP_USER_TIMEOUT, so that one may be lost");
  CHECK(idleMs + intervalMs < timeoutMs);
  INFO("expected an upstream that is silent for a second to keep its "
       "connections");
  CHECK(timeoutMs >= 2000);
}

TEST_CASE("AConnectionStartsFromTheGivenAddress")
{
  http::net::io_context io;
  http::Tcp::acceptor acceptor(
    io, http::Tcp::endpoint(http::net::ip::make_address("127.0.0.1"), 0));
  http::Tcp::socket socket(io);
  http::ErrorCode result = http::net::error::would_block;
  StartConnect(socket,
               { "127.0.0.1", acceptor.local_endpoint().port() },
               "127.0.0.2",
               [&](http::ErrorCode aError) { result = aError; });
  io.run();
  CHECK_FALSE(result);
  CHECK(socket.local_endpoint().address().to_string() == "127.0.0.2");
}

TEST_CASE("AnAddressThatCannotBeUsedIsReportedFromTheEventLoop")
{
  http::net::io_context io;
  http::Tcp::socket socket(io);
  http::ErrorCode result;
  StartConnect(socket, { "no address", 1 }, "", [&](http::ErrorCode aError) {
    result = aError;
  });
  CHECK_FALSE(result);
  io.run();
  CHECK(result);
}

} // namespace peridotspool::gateway
