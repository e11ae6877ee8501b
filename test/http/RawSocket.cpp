#include "http/RawSocket.h"

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace peridotspool::test {

namespace {

constexpr int kPatienceMs = 10000;

sockaddr_in
Loopback(std::uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(aPort);
  return address;
}

bool
WaitReadable(int aHandle)
{
  if (aHandle < 0) {
    return false;
  }
  pollfd waiting{ aHandle, POLLIN, 0 };
  return ::poll(&waiting, 1, kPatienceMs) == 1;
}

} // namespace

RawSocket::RawSocket(int aHandle)
  : mHandle(aHandle)
{
}

RawSocket::~RawSocket()
{
  Close();
}

std::unique_ptr<RawSocket>
RawSocket::Connect(const Address& aPeer)
{
  auto made = std::make_unique<RawSocket>(::socket(AF_INET, SOCK_STREAM, 0));
  const sockaddr_in address = Loopback(aPeer.mPort);
  if (::connect(made->mHandle,
                reinterpret_cast<const sockaddr*>(&address),
                sizeof address) != 0) {
    made->Close();
  }
  return made;
}

void
RawSocket::Send(const std::string& aBytes)
{
  std::size_t sent = 0;
  while (sent < aBytes.size()) {
    const auto some =
      ::send(mHandle, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (some <= 0) {
      return;
    }
    sent += static_cast<std::size_t>(some);
  }
}

std::string
RawSocket::ReadUntil(const std::string& aEnd)
{
  std::string read;
  char buffer[65536];
  while (aEnd.empty() || read.find(aEnd) == std::string::npos) {
    if (!WaitReadable(mHandle)) {
      break;
    }
    const auto some = ::recv(mHandle, buffer, sizeof buffer, 0);
    if (some <= 0) {
      break;
    }
    read.append(buffer, static_cast<std::size_t>(some));
  }
  return read;
}

std::string
RawSocket::ReadAll()
{
  return ReadUntil("");
}

bool
RawSocket::WaitForReset()
{
  char buffer[65536];
  while (WaitReadable(mHandle)) {
    const auto some = ::recv(mHandle, buffer, sizeof buffer, 0);
    if (some <= 0) {
      return some < 0 && errno == ECONNRESET;
    }
  }
  return false;
}

void
RawSocket::Close()
{
  if (mHandle >= 0) {
    ::close(mHandle);
  }
  mHandle = -1;
}

void
RawSocket::Reset()
{
  const linger option{ .l_onoff = 1, .l_linger = 0 };
  ::setsockopt(mHandle, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
  Close();
}

RawListener::RawListener()
  : mHandle(::socket(AF_INET, SOCK_STREAM, 0))
{
  sockaddr_in address = Loopback(0);
  socklen_t length = sizeof address;
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  REQUIRE(::bind(mHandle, generic, length) == 0);
  REQUIRE(::listen(mHandle, 64) == 0);
  REQUIRE(::getsockname(mHandle, generic, &length) == 0);
  mAddress = { "127.0.0.1", ntohs(address.sin_port) };
}

RawListener::~RawListener()
{
  ::close(mHandle);
}

std::unique_ptr<RawSocket>
RawListener::Accept()
{
  REQUIRE(WaitReadable(mHandle));
  return std::make_unique<RawSocket>(::accept(mHandle, nullptr, nullptr));
}

} // namespace peridotspool::test
