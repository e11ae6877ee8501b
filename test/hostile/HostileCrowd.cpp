#include "hostile/HostileCrowd.h"

#include <algorithm>
#include <arpa/inet.h>
#include <chrono>
#include <fcntl.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace peridotspool::hostile {

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t kBlockBytes = 64U << 10;
/** A crowd in which nothing has moved for this long has come to its end. */
constexpr std::chrono::seconds kQuiet{ 2 };
constexpr int kPollMs = 100;
/** Of a client that doesn't read: its answers stay with the sender. */
constexpr int kSmallReceiveBuffer = 4096;
constexpr std::string_view kHeadEnd = "\r\n\r\n";

sockaddr_in
AddressOf(const std::string& aHost, std::uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  ::inet_pton(AF_INET, aHost.c_str(), &address.sin_addr);
  return address;
}

/** Calls aMove until it returns false, or true without anything moving. */
template<typename Move, typename IsOver>
void
MoveWhile(Move aMove, IsOver aIsOver)
{
  Clock::time_point moved = Clock::now();
  while (!aIsOver() && Clock::now() - moved < kQuiet) {
    if (aMove()) {
      moved = Clock::now();
    } else {
      ::poll(nullptr, 0, 1);
    }
  }
}

} // namespace

int
ClientOutcome::Status() const
{
  constexpr std::size_t kStatusAt = 9;
  return mAnswer.size() < kStatusAt + 3 ? 0
                                        : std::stoi(mAnswer.substr(kStatusAt));
}

HostileCrowd::HostileCrowd(const std::string& aHost,
                           std::uint16_t aPort,
                           std::size_t aClients,
                           const ClientScript& aScript)
  : mHost(aHost)
  , mPort(aPort)
  , mScript(aScript)
  , mClients(aClients)
  , mOutcomes(aClients)
{
  while (!mScript.mPiece.empty() && mBlock.size() < kBlockBytes) {
    mBlock += mScript.mPiece;
  }
  for (std::size_t number = 0; number < aClients; ++number) {
    std::string& head = mClients[number].mHead;
    head = mScript.mHead;
    if (const auto place = head.find("{}"); place != std::string::npos) {
      head.replace(place, 2, std::to_string(number));
    }
  }
}

HostileCrowd::~HostileCrowd()
{
  for (const Client& client : mClients) {
    if (client.mSocket >= 0) {
      ::close(client.mSocket);
    }
  }
}

bool
HostileCrowd::Connect(Client& aClient) const
{
  aClient.mSocket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (!mScript.mReads) {
    ::setsockopt(aClient.mSocket,
                 SOL_SOCKET,
                 SO_RCVBUF,
                 &kSmallReceiveBuffer,
                 sizeof kSmallReceiveBuffer);
  }
  const sockaddr_in address = AddressOf(mHost, mPort);
  const bool connected = ::connect(aClient.mSocket,
                                   reinterpret_cast<const sockaddr*>(&address),
                                   sizeof address) == 0;
  ::fcntl(aClient.mSocket, F_SETFL, O_NONBLOCK);
  aClient.mOver = !connected;
  return connected;
}

std::string
HostileCrowd::BytesFrom(const Client& aClient, std::size_t aOffset) const
{
  if (aOffset < aClient.mHead.size()) {
    return aClient.mHead.substr(aOffset);
  }
  aOffset -= aClient.mHead.size();
  const std::size_t body = mScript.mPieces * mScript.mPiece.size();
  if (aOffset < body) {
    const std::size_t from = aOffset % mBlock.size();
    return mBlock.substr(from, std::min(mBlock.size(), body - aOffset));
  }
  aOffset -= body;
  return aOffset < mScript.mTail.size() ? mScript.mTail.substr(aOffset) : "";
}

bool
HostileCrowd::SendSome(std::size_t aClient)
{
  Client& client = mClients[aClient];
  ClientOutcome& outcome = mOutcomes[aClient];
  const std::string bytes = BytesFrom(client, outcome.mSent);
  if (bytes.empty()) {
    client.mOver = true;
    return false;
  }
  const ssize_t sent =
    ::send(client.mSocket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  if (sent > 0) {
    outcome.mSent += static_cast<std::size_t>(sent);
  } else if (errno != EAGAIN) {
    outcome.mIsReset = true;
    client.mOver = true;
  }
  return sent > 0;
}

bool
HostileCrowd::ReadSome(std::size_t aClient)
{
  char bytes[4096];
  const ssize_t got =
    ::recv(mClients[aClient].mSocket, bytes, sizeof bytes, MSG_DONTWAIT);
  if (got > 0) {
    mOutcomes[aClient].mAnswer.append(bytes, static_cast<std::size_t>(got));
  } else if (got < 0 && errno != EAGAIN) {
    mOutcomes[aClient].mIsReset = true;
  }
  return got > 0;
}

bool
HostileCrowd::Move(std::size_t aClient)
{
  bool moved = false;
  if (mScript.mReads) {
    moved = ReadSome(aClient);
    mClients[aClient].mOver |=
      mOutcomes[aClient].mAnswer.find(kHeadEnd) != std::string::npos;
  }
  return (!mClients[aClient].mOver && SendSome(aClient)) || moved;
}

void
HostileCrowd::Send()
{
  for (Client& client : mClients) {
    Connect(client);
  }
  const auto isOver = [this] {
    return std::all_of(mClients.begin(),
                       mClients.end(),
                       [](const Client& aClient) { return aClient.mOver; });
  };
  MoveWhile(
    [this] {
      bool moved = false;
      for (std::size_t number = 0; number < mClients.size(); ++number) {
        moved |= !mClients[number].mOver && Move(number);
      }
      return moved;
    },
    isOver);
  WaitUntilTaken();
}

void
HostileCrowd::WaitUntilTaken() const
{
  int waiting = -1;
  MoveWhile(
    [&] {
      int sum = 0;
      for (const Client& client : mClients) {
        int bytes = 0;
        ::ioctl(client.mSocket, SIOCOUTQ, &bytes);
        sum += bytes;
      }
      return std::exchange(waiting, sum) != sum;
    },
    [&] { return waiting == 0; });
}

void
HostileCrowd::SendInTurn()
{
  for (std::size_t number = 0; number < mClients.size(); ++number) {
    Client& client = mClients[number];
    Connect(client);
    MoveWhile([&] { return SendSome(number); }, [&] { return client.mOver; });
    pollfd answer{ .fd = client.mSocket, .events = POLLIN, .revents = 0 };
    for (int waited = 0; waited < 50 && ::poll(&answer, 1, kPollMs) == 0;
         ++waited) {
    }
  }
}

void
HostileCrowd::SendSlowly(const std::string& aMore)
{
  Send();
  ::poll(nullptr, 0, kPollMs);
  for (const Client& client : mClients) {
    ::send(client.mSocket, aMore.data(), aMore.size(), MSG_NOSIGNAL);
  }
  ::poll(nullptr, 0, kPollMs);
}

void
HostileCrowd::ReadAnswers()
{
  const auto isWhole = [](const ClientOutcome& aOutcome) {
    return aOutcome.mAnswer.find(kHeadEnd) != std::string::npos;
  };
  MoveWhile(
    [this] {
      bool moved = false;
      for (std::size_t number = 0; number < mClients.size(); ++number) {
        moved |= ReadSome(number);
      }
      return moved;
    },
    [&] { return std::all_of(mOutcomes.begin(), mOutcomes.end(), isWhole); });
}

} // namespace peridotspool::hostile
