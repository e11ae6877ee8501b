#pragma once

#include "http/BeastTypes.h"
#include "peridotspool/base/Time.h"
#include "peridotspool/gateway/TunnelProtocol.h"

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace peridotspool::gateway {

/** What a tunnel's owner decides about a request for one. */
using TunnelDecision = std::variant<Address, TunnelFailure>;

/** Decides on requests for tunnels. */
class TunnelOwner
{
public:
  virtual ~TunnelOwner() = default;
  /** Returns the address to connect to, or why the request is refused. */
  virtual TunnelDecision Decide(const DialTarget& aTarget) = 0;
  virtual void OnConnected(const DialTarget& aTarget) = 0;
  /** Returns what the other entry is told. */
  virtual TunnelFailure OnConnectFailed(const DialTarget& aTarget,
                                        TunnelFailure aFailure) = 0;
  virtual std::string SourceHost() const = 0;
  virtual TimePoint Now() const = 0;
};

/**
 * One connection of another entry that this entry relays to an upstream. Each
 * direction has one buffer, so that a receiver that doesn't read stops the
 * sender. The end of one connection ends the other in the same way, by a close
 * or by a reset.
 */
class Tunnel : public std::enable_shared_from_this<Tunnel>
{
public:
  Tunnel(http::Tcp::socket aPeer, TunnelOwner& aOwner);

  void Run();
  void Close();
  bool IsClosed() const { return mClosed; }
  /** When bytes last passed, or when the tunnel was requested. */
  TimePoint ActiveAt() const { return mActiveAt; }

private:
  static constexpr std::size_t kBufferBytes = 16U << 10;
  struct Direction
  {
    http::Tcp::socket& mFrom;
    http::Tcp::socket& mTo;
    std::array<char, kBufferBytes> mBuffer;
  };

  void OnRequest(http::ErrorCode aError);
  void Connect(const Address& aUpstream);
  void OnConnected(http::ErrorCode aError);
  void FailConnect(TunnelFailure aFailure);
  void Refuse(TunnelFailure aFailure);
  void Open();
  void Pump(Direction& aDirection);
  void OnRead(Direction& aDirection,
              http::ErrorCode aError,
              std::size_t aBytes);
  void Reset();

  http::Tcp::socket mPeer;
  http::Tcp::socket mUpstream;
  http::net::steady_timer mTimer;
  TunnelOwner& mOwner;
  std::string mHead;
  DialTarget mTarget;
  std::string mResponse;
  Direction mToUpstream{ .mFrom = mPeer, .mTo = mUpstream, .mBuffer = {} };
  Direction mToPeer{ .mFrom = mUpstream, .mTo = mPeer, .mBuffer = {} };
  TimePoint mActiveAt;
  bool mClosed = false;
};

} // namespace peridotspool::gateway
