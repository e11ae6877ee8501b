#pragma once

#include "http/BeastTypes.h"
#include "peridotspool/base/Time.h"
#include "peridotspool/gateway/TunnelProtocol.h"
#include "peridotspool/gateway/TunnelRecord.h"

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
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
 * sender. The other entry is told how the upstream's connection ended, as it
 * would take the end of this process for a close by the upstream.
 */
class Tunnel : public std::enable_shared_from_this<Tunnel>
{
public:
  Tunnel(http::Tcp::socket aPeer, TunnelOwner& aOwner);

  void Run();
  void Close();
  /** Asks the other entry to send no further requests through the tunnel;
   * refuses one that is not open yet. */
  void Retire();
  /** Returns the upstream at the other end; unset before the request for the
   * tunnel is read. */
  const UpstreamName& Upstream() const { return mTarget.mName; }
  bool IsClosed() const { return mClosed; }
  /** When bytes last passed, or when the tunnel was requested. */
  TimePoint ActiveAt() const { return mActiveAt; }
  /** Tells the other entry that this one is alive, if it may wait for bytes and
   * has received none lately. */
  void KeepAlive(TimePoint aNow);

private:
  static constexpr std::size_t kBufferBytes = 16U << 10;
  using Buffer = std::array<char, kBufferBytes>;
  static_assert(kBufferBytes <= kMaxTunnelRecordBytes);

  void OnRequest(http::ErrorCode aError);
  void Connect(const Address& aUpstream);
  void OnConnected(http::ErrorCode aError);
  void FailConnect(TunnelFailure aFailure);
  void Refuse(TunnelFailure aFailure);
  void Open();
  void ReadPeer();
  void OnPeerRead(http::ErrorCode aError, std::size_t aBytes);
  void ReadUpstream();
  void OnUpstreamRead(http::ErrorCode aError, std::size_t aBytes);
  void SendRecord(TunnelRecordType aType, std::string_view aData = {});
  void Flush();
  void OnFlushed(http::ErrorCode aError);

  http::Tcp::socket mPeer;
  http::Tcp::socket mUpstream;
  http::net::steady_timer mTimer;
  TunnelOwner& mOwner;
  std::string mHead;
  DialTarget mTarget;
  std::string mResponse;
  Buffer mFromPeer;
  Buffer mFromUpstream;
  /** Records to the other entry: queued, and being written. */
  std::string mRecords;
  std::string mWriting;
  TimePoint mActiveAt;
  TimePoint mPeerActiveAt;
  TimePoint mRecordSentAt;
  bool mOpen = false;
  bool mWriteFailed = false;
  bool mUpstreamPaused = false;
  bool mRetireOnceOpen = false;
  /** The last record is queued. */
  bool mEnding = false;
  bool mClosed = false;
};

} // namespace peridotspool::gateway
