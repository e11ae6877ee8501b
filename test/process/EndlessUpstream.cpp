#include "process/EndlessUpstream.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include <sys/socket.h>
#include <utility>

namespace peridotspool::test {

namespace net = boost::asio;
namespace beast = boost::beast;

EndlessUpstream::EndlessUpstream(std::string aHead, Part aPart)
  : mHead(std::move(aHead))
  , mPart(std::move(aPart))
  , mAcceptor(mIo, Tcp::endpoint(net::ip::make_address("127.0.0.1"), 0))
{
  mAccepting = std::thread([this] { Accept(); });
}

EndlessUpstream::~EndlessUpstream()
{
  mStopping = true;
  ::shutdown(mAcceptor.native_handle(), SHUT_RDWR);
  mAccepting.join();
  for (const auto& socket : mSockets) {
    ::shutdown(socket->native_handle(), SHUT_RDWR);
  }
  for (std::thread& serving : mServing) {
    serving.join();
  }
}

std::string
EndlessUpstream::Where() const
{
  return "127.0.0.1:" + std::to_string(mAcceptor.local_endpoint().port());
}

void
EndlessUpstream::Accept()
{
  while (!mStopping) {
    auto socket = std::make_shared<Tcp::socket>(mIo);
    boost::system::error_code error;
    mAcceptor.accept(*socket, error);
    if (error) {
      return;
    }
    mSockets.push_back(socket);
    mServing.emplace_back([this, socket] { Serve(*socket); });
  }
}

void
EndlessUpstream::Serve(Tcp::socket& aSocket)
{
  beast::flat_buffer buffer;
  beast::http::request<beast::http::string_body> request;
  boost::system::error_code error;
  beast::http::read(aSocket, buffer, request, error);
  const auto call = fakes::ParseObject(request.body());
  if (error || !call) {
    return;
  }
  ++mCalls;
  net::write(aSocket, net::buffer(mHead), error);
  for (std::uint64_t number = 0; !error; ++number) {
    net::write(aSocket, net::buffer(mPart(*call, number)), error);
  }
}

} // namespace peridotspool::test
