#include "wire/PeerConnection.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace peridotspool::wire {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

/** An empty frame proves that the sender is alive and carries nothing. */
const std::string kHeartbeatFrame;
/** Less is a message in passing, or the room that one has left. */
constexpr std::size_t kSmallBytes = 64U << 10;
/** Bytes that are handed to the session before others have been sent. */
constexpr std::size_t kMaxInSession = 64U << 10;
/** Bulk bytes that may wait for one peer. */
constexpr std::size_t kMaxBulkBytes = 1U << 20;
/** A handshake may pause for one connect time-out, and take so many in all. */
constexpr int kMaxHandshakes = 3;

Address
ParseAddress(const std::string& aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string::npos) {
    return {};
  }
  std::uint16_t port = 0;
  std::from_chars(aText.data() + colon + 1, aText.data() + aText.size(), port);
  return Address{ .mHost = aText.substr(0, colon), .mPort = port };
}

} // namespace

PeerConnection::PeerConnection(asio::ip::tcp::socket aSocket,
                               PeerSessionOptions aSession,
                               Times aTimes,
                               Handlers aHandlers,
                               limits::ConnectionId aId)
  : mSocket(std::move(aSocket))
  , mTimer(mSocket.get_executor())
  , mSession(std::move(aSession))
  , mTimes(aTimes)
  , mHandlers(std::move(aHandlers))
  , mId(aId)
  , mOutbound(kMaxBulkBytes)
  , mBegunAt(Clock::now())
  , mLastReceived(mBegunAt)
  , mLastUse(mLastReceived)
{
}

void
PeerConnection::StartAccepted()
{
  Begin();
}

void
PeerConnection::StartConnecting(const Address& aPeer, const std::string& aFrom)
{
  mPeer = aPeer;
  error_code error;
  const auto host = asio::ip::make_address(aPeer.mHost, error);
  if (error) {
    Close("not an IP number: " + aPeer.mHost);
    return;
  }
  if (!aFrom.empty()) {
    const auto from = asio::ip::make_address(aFrom, error);
    mSocket.open(asio::ip::tcp::v4(), error);
    mSocket.bind(asio::ip::tcp::endpoint(from, 0), error);
    if (error) {
      Close("bind: " + error.message());
      return;
    }
  }
  ArmTimer();
  mSocket.async_connect(asio::ip::tcp::endpoint(host, aPeer.mPort),
                        [self = shared_from_this()](const error_code& aError) {
                          if (aError) {
                            self->Close("connect: " + aError.message());
                          } else if (!self->mClosed) {
                            self->Begin();
                          }
                        });
}

void
PeerConnection::Begin()
{
  mConnected = true;
  mBegunAt = Clock::now();
  mLastReceived = mBegunAt;
  error_code ignored;
  mSocket.set_option(asio::ip::tcp::no_delay(true), ignored);
  ReadSome();
  Flush();
  ArmTimer();
}

bool
PeerConnection::Send(std::string aFrame, FramePriority aPriority)
{
  mLastUse = Clock::now();
  if (!mOutbound.Push(std::move(aFrame), aPriority)) {
    return false;
  }
  if (mConnected) {
    Flush();
    if (!mAwaitingSince) {
      mAwaitingSince = mLastUse;
      ArmTimer();
    }
  }
  return true;
}

limits::ConnectionState
PeerConnection::State() const
{
  using enum limits::ConnectionPhase;
  const std::size_t held = mSession.HeldBytes();
  const bool isIdle = mSession.Authenticated() && held <= kSmallBytes;
  return { .mPhase = isIdle ? kIdle : kReceiving,
           .mBytes = held,
           .mTransferred = mReceivedBytes };
}

std::size_t
PeerConnection::QueuedBytes() const
{
  return mOutbound.Bytes() + mSession.QueuedBytes() + mWriting.size();
}

void
PeerConnection::ReadSome()
{
  mSocket.async_read_some(
    asio::buffer(mReadBuffer),
    [self = shared_from_this()](const error_code& aError, std::size_t aSize) {
      if (self->mClosed) {
        return;
      }
      if (aError) {
        self->Close("read: " + aError.message());
        return;
      }
      self->OnRead(aSize);
    });
}

void
PeerConnection::OnRead(std::size_t aSize)
{
  mLastReceived = Clock::now();
  mAwaitingSince.reset();
  mHandlers.mOnBytes(aSize, 0);
  std::vector<std::string> frames;
  LastReason reason;
  const bool good = mSession.Receive(
    std::string_view(mReadBuffer.data(), aSize), frames, reason);
  if (mSession.Authenticated() && !mAnnouncedAuthenticated) {
    mAnnouncedAuthenticated = true;
    if (!mPeer.mPort) {
      mPeer = ParseAddress(mSession.PeerListen());
    }
    mHandlers.mOnAuthenticated(shared_from_this());
  }
  for (std::string& frame : frames) {
    if (!frame.empty()) {
      mLastUse = mLastReceived;
      if (!mOwingSince) {
        mOwingSince = mLastReceived;
      }
      mHandlers.mOnFrame(std::move(frame));
    }
  }
  if (!good) {
    Close(reason.Text());
    return;
  }
  mReceivedBytes += aSize;
  mHandlers.mOnHeld(shared_from_this());
  if (mClosed) {
    return;
  }
  Flush();
  ArmTimer();
  ReadSome();
}

// What the session has taken can't be overtaken any more.
void
PeerConnection::FeedSession()
{
  while (mSession.QueuedBytes() < kMaxInSession) {
    auto frame = mOutbound.Pop();
    if (!frame) {
      return;
    }
    mSession.Queue(std::move(*frame));
  }
}

void
PeerConnection::Flush()
{
  if (mWriteUnderWay || mClosed) {
    return;
  }
  FeedSession();
  mWriting = mSession.TakeOutput();
  if (mWriting.empty()) {
    return;
  }
  mWriteUnderWay = true;
  mOwingSince.reset();
  asio::async_write(
    mSocket,
    asio::buffer(mWriting),
    [self = shared_from_this()](const error_code& aError, std::size_t aSize) {
      self->mWriteUnderWay = false;
      self->mWriting.clear();
      if (self->mClosed) {
        return;
      }
      self->mHandlers.mOnBytes(0, aSize);
      if (aError) {
        self->Close("write: " + aError.message());
        return;
      }
      self->Flush();
    });
}

PeerConnection::Clock::time_point
PeerConnection::NextDue() const
{
  if (!mSession.Authenticated()) {
    return std::min(mLastReceived + mTimes.mConnectTimeout,
                    mBegunAt + kMaxHandshakes * mTimes.mConnectTimeout);
  }
  Clock::time_point due = mLastUse + mTimes.mIdle;
  if (mAwaitingSince) {
    due = std::min(due, *mAwaitingSince + mTimes.mSilence);
  }
  if (mOwingSince) {
    due = std::min(due, *mOwingSince + mTimes.mHeartbeat);
  }
  return due;
}

// A heartbeat is sent only in answer to frames, so that the cost follows the
// traffic: with a heartbeat on each of a few hundred idle connections, a node
// would spend its whole allowance on saying nothing.
void
PeerConnection::ArmTimer()
{
  const Clock::time_point due = NextDue();
  if (mClosed || mTimer.expiry() == due) {
    return;
  }
  mTimer.expires_at(due);
  mTimer.async_wait([self = shared_from_this()](const error_code& aError) {
    if (!aError && !self->mClosed) {
      self->OnTimer();
    }
  });
}

void
PeerConnection::OnTimer()
{
  const auto now = Clock::now();
  const bool silent =
    mSession.Authenticated()
      ? mAwaitingSince && now - *mAwaitingSince >= mTimes.mSilence
      : now >= NextDue();
  // Something between the two ends may have lost track of this connection: it
  // would stay silent for good while a new one works, so it is given up here
  // and the next frame opens a new one.
  if (silent) {
    Close("silent", true);
    return;
  }
  if (mSession.Authenticated() && now - mLastUse >= mTimes.mIdle) {
    Close("idle");
    return;
  }
  if (mOwingSince && now - *mOwingSince >= mTimes.mHeartbeat) {
    mOwingSince.reset();
    mSession.Queue(kHeartbeatFrame);
    Flush();
  }
  ArmTimer();
}

void
PeerConnection::Close(const std::string& aReason, bool aSilent)
{
  if (mClosed) {
    return;
  }
  mClosed = true;
  error_code ignored;
  mTimer.cancel();
  mSocket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
  mSocket.close(ignored);
  mHandlers.mOnClosed(shared_from_this(),
                      ConnectionEnd{ .mReason = aReason,
                                     .mAuthenticated = mSession.Authenticated(),
                                     .mSilent = aSilent });
}

} // namespace peridotspool::wire
