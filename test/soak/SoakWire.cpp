#include "soak/SoakWire.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace peridotspool::soak {

namespace {

namespace beast_http = boost::beast::http;

sockaddr_in
AddressOf(const std::string& aHost, std::uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  ::inet_pton(AF_INET, aHost.c_str(), &address.sin_addr);
  return address;
}

bool
WaitFor(int aSocket, short aWhat, Ms aPatience)
{
  pollfd entry{ .fd = aSocket, .events = aWhat, .revents = 0 };
  const auto wait = static_cast<int>(std::max<Ms::rep>(0, aPatience.count()));
  return ::poll(&entry, 1, wait) == 1;
}

Ms
Left(Time aDeadline)
{
  return std::chrono::duration_cast<Ms>(aDeadline - Clock::now());
}

template<typename Parser>
void
TakeFields(const Parser& aParser, HttpText& aText)
{
  for (const auto& field : aParser.get()) {
    std::string name(field.name_string());
    std::transform(name.begin(), name.end(), name.begin(), ::tolower);
    aText.mFields[name] = std::string(field.value());
  }
  aText.mKeepAlive = aParser.get().keep_alive();
}

/** Feeds what is buffered; returns false when the bytes are no message. */
template<typename Parser>
bool
Feed(Parser& aParser, std::string& aBuffer)
{
  while (!aBuffer.empty() && !aParser.is_done()) {
    boost::system::error_code error;
    const std::size_t used = aParser.put(boost::asio::buffer(aBuffer), error);
    aBuffer.erase(0, used);
    if (error == beast_http::error::need_more) {
      return true;
    }
    if (error) {
      return false;
    }
    if (used == 0) {
      return true;
    }
  }
  return true;
}

} // namespace

Wire::~Wire()
{
  if (mSocket >= 0) {
    ::close(mSocket);
  }
}

Wire::Wire(Wire&& aOther) noexcept
  : mSocket(std::exchange(aOther.mSocket, -1))
  , mBuffer(std::move(aOther.mBuffer))
{
}

Wire&
Wire::operator=(Wire&& aOther) noexcept
{
  std::swap(mSocket, aOther.mSocket);
  std::swap(mBuffer, aOther.mBuffer);
  return *this;
}

std::optional<Wire>
Wire::Connect(const std::string& aHost, std::uint16_t aPort, Ms aPatience)
{
  Wire wire(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
  const sockaddr_in address = AddressOf(aHost, aPort);
  const int outcome = ::connect(
    wire.mSocket, reinterpret_cast<const sockaddr*>(&address), sizeof address);
  if (outcome != 0 &&
      (errno != EINPROGRESS || !WaitFor(wire.mSocket, POLLOUT, aPatience))) {
    return std::nullopt;
  }
  int error = 0;
  socklen_t size = sizeof error;
  ::getsockopt(wire.mSocket, SOL_SOCKET, SO_ERROR, &error, &size);
  return error == 0 ? std::optional(std::move(wire)) : std::nullopt;
}

bool
Wire::Send(std::string_view aBytes) const
{
  while (!aBytes.empty()) {
    const ssize_t sent =
      ::send(mSocket, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
    if (sent < 0 && errno == EAGAIN && WaitFor(mSocket, POLLOUT, Ms(2000))) {
      continue;
    }
    if (sent <= 0) {
      return false;
    }
    aBytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

bool
Wire::ReadSome(Ms aPatience)
{
  std::array<char, 16384> bytes{};
  if (!WaitFor(mSocket, POLLIN, aPatience)) {
    return false;
  }
  const ssize_t got = ::recv(mSocket, bytes.data(), bytes.size(), 0);
  if (got <= 0) {
    return false;
  }
  mBuffer.append(bytes.data(), static_cast<std::size_t>(got));
  return true;
}

HttpText
Wire::ReadAnswer(Ms aPatience, Ms aSilence)
{
  beast_http::response_parser<beast_http::string_body> parser;
  parser.body_limit(boost::none);
  parser.eager(true);
  const Time deadline = Clock::now() + aPatience;
  bool good = true;
  while (good && !parser.is_done()) {
    good =
      ReadSome(std::min(aSilence, Left(deadline))) && Feed(parser, mBuffer);
  }
  HttpText text;
  text.mWhole = parser.is_done();
  if (parser.is_header_done()) {
    TakeFields(parser, text);
    text.mStatus = parser.get().result_int();
    text.mBody = parser.get().body();
  }
  return text;
}

std::string
Wire::ReadBytes(Ms aPatience)
{
  if (mBuffer.empty()) {
    ReadSome(aPatience);
  }
  return std::exchange(mBuffer, {});
}

std::optional<HttpText>
Wire::ReadRequest(Ms aPatience)
{
  beast_http::request_parser<beast_http::string_body> parser;
  parser.body_limit(boost::none);
  parser.eager(true);
  const Time deadline = Clock::now() + aPatience;
  while (Feed(parser, mBuffer) && !parser.is_done()) {
    if (!ReadSome(Left(deadline))) {
      return std::nullopt;
    }
  }
  if (!parser.is_done()) {
    return std::nullopt;
  }
  HttpText text;
  text.mWhole = true;
  TakeFields(parser, text);
  text.mMethod = std::string(parser.get().method_string());
  text.mTarget = std::string(parser.get().target());
  text.mBody = parser.get().body();
  return text;
}

void
Wire::Reset()
{
  const linger now{ .l_onoff = 1, .l_linger = 0 };
  ::setsockopt(mSocket, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  ::close(std::exchange(mSocket, -1));
}

void
Wire::Shut() const
{
  const linger now{ .l_onoff = 1, .l_linger = 0 };
  ::setsockopt(mSocket, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  ::shutdown(mSocket, SHUT_RDWR);
}

std::string
Wire::PeerHost() const
{
  sockaddr_in address{};
  socklen_t size = sizeof address;
  char text[INET_ADDRSTRLEN] = "";
  if (::getpeername(mSocket, reinterpret_cast<sockaddr*>(&address), &size) ==
      0) {
    ::inet_ntop(AF_INET, &address.sin_addr, text, sizeof text);
  }
  return text;
}

int
ListenAt(const std::string& aHost, std::uint16_t aPort)
{
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int yes = 1;
  ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  const sockaddr_in address = AddressOf(aHost, aPort);
  const bool listens = ::bind(socket,
                              reinterpret_cast<const sockaddr*>(&address),
                              sizeof address) == 0 &&
                       ::listen(socket, 256) == 0;
  if (!listens) {
    ::close(socket);
    return -1;
  }
  return socket;
}

std::optional<Wire>
AcceptOn(int aSocket, Ms aPatience)
{
  if (!WaitFor(aSocket, POLLIN, aPatience)) {
    return std::nullopt;
  }
  const int accepted =
    ::accept4(aSocket, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
  return accepted < 0 ? std::nullopt : std::optional(Wire(accepted));
}

std::optional<HttpText>
CallOnce(const std::string& aHost,
         std::uint16_t aPort,
         const std::string& aRequest,
         Ms aPatience)
{
  auto wire = Wire::Connect(aHost, aPort, Ms(400));
  if (!wire || !wire->Send(aRequest)) {
    return std::nullopt;
  }
  HttpText answer = wire->ReadAnswer(aPatience, aPatience);
  return answer.mWhole ? std::optional(std::move(answer)) : std::nullopt;
}

std::string
RequestText(const std::string& aMethod,
            const std::string& aTarget,
            const std::string& aFields,
            const std::string& aBody)
{
  return aMethod + " " + aTarget + " HTTP/1.1\r\nHost: " + kHost + "\r\n" +
         aFields + "Content-Length: " + std::to_string(aBody.size()) +
         "\r\n\r\n" + aBody;
}

} // namespace peridotspool::soak
