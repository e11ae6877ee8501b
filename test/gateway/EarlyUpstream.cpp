#include "gateway/EarlyUpstream.h"

#include <boost/asio/write.hpp>
#include <sys/socket.h>

#include <chrono>
#include <utility>

namespace peridotspool::gateway {

namespace net = http::net;

namespace {

constexpr std::string_view kIdField = "X-Id: ";

std::string
IdOf(const std::string& aHead)
{
  const std::size_t at = aHead.find(kIdField) + kIdField.size();
  return aHead.substr(at, aHead.find('\r', at) - at);
}

} // namespace

EarlyUpstream::EarlyUpstream(std::string aAnswer, Then aThen)
  : mAnswer(std::move(aAnswer))
  , mThen(aThen)
  , mAcceptor(mIo)
{
  const http::Tcp::endpoint where(net::ip::make_address("127.0.0.1"), 0);
  mAcceptor.open(where.protocol());
  // Accepted sockets have the same small window.
  mAcceptor.set_option(net::socket_base::receive_buffer_size(4096));
  mAcceptor.bind(where);
  mAcceptor.listen();
  mThread = std::thread([this] { Run(); });
}

EarlyUpstream::~EarlyUpstream()
{
  ::shutdown(mAcceptor.native_handle(), SHUT_RDWR);
  mThread.join();
}

void
EarlyUpstream::Run()
{
  for (;;) {
    http::Tcp::socket socket(mIo);
    http::ErrorCode error;
    mAcceptor.accept(socket, error);
    if (error) {
      return;
    }
    ++mConnections;
    Serve(socket);
  }
}

void
EarlyUpstream::Serve(http::Tcp::socket& aSocket)
{
  const timeval wait{ 2, 0 };
  ::setsockopt(
    aSocket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
  std::string head;
  char bytes[512];
  while (head.find("\r\n\r\n") == std::string::npos) {
    const auto got = ::recv(aSocket.native_handle(), bytes, sizeof(bytes), 0);
    if (got <= 0) {
      return;
    }
    head.append(bytes, static_cast<std::size_t>(got));
  }
  std::string answer = mAnswer;
  const std::size_t place = answer.find("{id}");
  if (place != std::string::npos) {
    answer.replace(place, 4, IdOf(head));
  }
  http::ErrorCode error;
  net::write(aSocket, net::buffer(answer), error);
  // The answer is read before the connection ends.
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  if (mThen == Then::kReset) {
    aSocket.set_option(net::socket_base::linger(true, 0), error);
    aSocket.close(error);
    return;
  }
  aSocket.shutdown(http::Tcp::socket::shutdown_send, error);
  while (::recv(aSocket.native_handle(), bytes, sizeof(bytes), 0) > 0) {
  }
}

std::string
LongUpload()
{
  return std::string(std::size_t{ 3 } << 20, 'u');
}

} // namespace peridotspool::gateway
