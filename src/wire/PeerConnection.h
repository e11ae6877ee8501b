#pragma once

#include "peridotspool/base/Address.h"
#include "peridotspool/limits/ConnectionBudget.h"
#include "peridotspool/wire/FramePriority.h"
#include "peridotspool/wire/PeerSession.h"
#include "wire/OutboundQueue.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace peridotspool::wire {

/** How a connection ended. */
struct ConnectionEnd
{
  std::string mReason;
  bool mAuthenticated = false;
  bool mSilent = false;
};

/**
 * One TCP connection with its session. Lives on the transport's thread only;
 * keeps itself alive while a socket operation is under way.
 */
class PeerConnection : public std::enable_shared_from_this<PeerConnection>
{
public:
  struct Handlers
  {
    std::function<void(std::string)> mOnFrame;
    std::function<void(const std::shared_ptr<PeerConnection>&)>
      mOnAuthenticated;
    std::function<void(const std::shared_ptr<PeerConnection>&,
                       const ConnectionEnd&)>
      mOnClosed;
    std::function<void(std::size_t, std::size_t)> mOnBytes;
    /** Bytes have come; the connection may be closed for what it holds. */
    std::function<void(const std::shared_ptr<PeerConnection>&)> mOnHeld;
  };
  struct Times
  {
    std::chrono::milliseconds mHeartbeat;
    std::chrono::milliseconds mSilence;
    std::chrono::milliseconds mIdle;
    std::chrono::milliseconds mConnectTimeout;
  };

  PeerConnection(boost::asio::ip::tcp::socket aSocket,
                 PeerSessionOptions aSession,
                 Times aTimes,
                 Handlers aHandlers,
                 limits::ConnectionId aId);

  /** Starts on a socket that was accepted. */
  void StartAccepted();
  /** Connects to the peer, from an address if one is given, then starts. */
  void StartConnecting(const Address& aPeer, const std::string& aFrom);
  /** Returns false iff the frame was dropped. */
  bool Send(std::string aFrame, FramePriority aPriority);
  void Close(const std::string& aReason, bool aSilent = false);

  /** Where the peer listens: known at once when connecting, later otherwise. */
  const Address& Peer() const { return mPeer; }
  std::size_t QueuedBytes() const;
  bool Closed() const { return mClosed; }
  limits::ConnectionId Id() const { return mId; }
  limits::ConnectionState State() const;

private:
  using Clock = std::chrono::steady_clock;

  /** What the clock has to wait for next; see OnTimer. */
  Clock::time_point NextDue() const;
  void Begin();
  void ReadSome();
  void OnRead(std::size_t aSize);
  void Flush();
  void FeedSession();
  void ArmTimer();
  void OnTimer();

  boost::asio::ip::tcp::socket mSocket;
  boost::asio::steady_timer mTimer;
  PeerSession mSession;
  Times mTimes;
  Handlers mHandlers;
  const limits::ConnectionId mId;
  std::uint64_t mReceivedBytes = 0;
  Address mPeer;
  std::array<char, 64 << 10> mReadBuffer;
  OutboundQueue mOutbound;
  std::string mWriting;
  bool mWriteUnderWay = false;
  bool mConnected = false;
  bool mClosed = false;
  bool mAnnouncedAuthenticated = false;
  Clock::time_point mBegunAt;
  Clock::time_point mLastReceived;
  Clock::time_point mLastUse;
  /** Since when a frame of ours waits for any byte of the peer. */
  std::optional<Clock::time_point> mAwaitingSince;
  /** Since when a frame of the peer waits for any byte of ours. */
  std::optional<Clock::time_point> mOwingSince;
};

} // namespace peridotspool::wire
