#include "gateway/CallerConnection.h"

#include "gateway/SocketOptions.h"
#include "http/ResetOnClose.h"
#include "peridotspool/gateway/HeaderRules.h"

#include <utility>

namespace peridotspool::gateway {

namespace {

namespace net = http::net;

/** Of a connection that waits for a request, and of one that receives it. */
constexpr std::size_t kFirstReadBytes = 4U << 10;
constexpr std::size_t kReadBytes = 16U << 10;
/** Bytes of further requests that are read while one is being served. */
constexpr std::size_t kMaxReadAheadBytes = 4U << 10;
/** Bytes that may wait in the kernel. */
constexpr std::size_t kReceiveBufferBytes = 64U << 10;
/** A connection serves no further request while so much of its responses has
 * not been read. */
constexpr std::size_t kMaxUnreadBytes = 64U << 10;
/** Bounds the time from the first byte of a request to the end of its body. */
constexpr Duration kBodyTimeout = std::chrono::seconds(20);
/** A client that reads nothing of its response for this long is cut off. */
constexpr Duration kWriteTimeout = std::chrono::seconds(20);
/** How long a client that was refused may go on sending. */
constexpr Duration kDrainTimeout = std::chrono::seconds(2);
/** Bounds when a request that gave way may return, in seconds. */
constexpr double kMinRetryAfter = 0.3;
constexpr double kRetryAfterStep = 0.1;
constexpr unsigned kRetryAfterSteps = 8;
/** Added to the idle time-out, up to which callers reuse a connection. */
constexpr Duration kIdleTimeoutSlack = std::chrono::seconds(1);

} // namespace

CallerConnection::CallerConnection(http::Tcp::socket aSocket,
                                   CallerConnectionOwner& aOwner,
                                   limits::ConnectionId aId)
  : mSocket(std::move(aSocket))
  , mOwner(aOwner)
  , mId(aId)
  , mRequestOrIdleSince(aOwner.Now())
{
  SetSocketOptions(mSocket);
  http::ErrorCode ignored;
  mSocket.set_option(
    net::socket_base::receive_buffer_size(int{ kReceiveBufferBytes }), ignored);
}

void
CallerConnection::Run()
{
  Read();
}

bool
CallerConnection::IsIdle() const
{
  return !mServing && mBuffer.size() == 0 && (!mParser || !mParser->got_some());
}

limits::ConnectionPhase
CallerConnection::Phase() const
{
  using enum limits::ConnectionPhase;
  if (mRefused) {
    return kDraining;
  }
  if (QueuedBytes() > 0) {
    return kSending;
  }
  if (mServing) {
    return kServing;
  }
  return IsIdle() && mRequestBytes == 0 ? kIdle : kReceiving;
}

limits::ConnectionState
CallerConnection::State() const
{
  const std::size_t body = mParser ? mParser->get().body().capacity() : 0;
  // What a connection that isn't read holds in the kernel isn't known.
  const bool isRead = mReading || MayRead();
  const std::size_t unread = isRead ? mUnreadBytes : kReceiveBufferBytes;
  return { .mPhase = Phase(),
           .mBytes = mBuffer.capacity() + unread + mRequestBytes + body +
                     mPending.capacity() + mWriting.capacity(),
           .mTransferred = mTransferred,
           .mIsAhead = mBuffer.size() > 0 };
}

void
CallerConnection::ReportHeld()
{
  if (!mClosed) {
    mOwner.OnHeld(*this);
  }
}

bool
CallerConnection::MayRead() const
{
  if (mReading || mClosed) {
    return false;
  }
  const bool isBusy = mServing || mClosing || QueuedBytes() > kMaxUnreadBytes;
  return mRefused || !isBusy || mBuffer.size() < kMaxReadAheadBytes;
}

void
CallerConnection::Read()
{
  if (!MayRead()) {
    return;
  }
  mReading = true;
  const bool isReceiving = mParser && mParser->got_some();
  mReadBytes = isReceiving ? kReadBytes : kFirstReadBytes;
  mSocket.async_read_some(
    mBuffer.prepare(mReadBytes),
    [self = shared_from_this()](http::ErrorCode aError, std::size_t aBytes) {
      self->OnRead(aError, aBytes);
    });
}

void
CallerConnection::OnRead(http::ErrorCode aError, std::size_t aBytes)
{
  mReading = false;
  if (mClosed) {
    return;
  }
  if (aError) {
    OnLost();
    return;
  }
  mTransferred += aBytes;
  mBuffer.commit(aBytes);
  CountUnread(aBytes);
  if (mRefused) {
    DropRead();
  } else {
    ParseNext();
  }
  ReportHeld();
  mOwner.EnforceBounds();
  Read();
}

// A read that is under way uses the buffer.
void
CallerConnection::DropRead()
{
  if (!mReading) {
    mBuffer.clear();
    mBuffer.shrink_to_fit();
  }
}

// Asks the kernel only if the read has left something behind, as most reads
// take all that has come.
void
CallerConnection::CountUnread(std::size_t aRead)
{
  http::ErrorCode ignored;
  mUnreadBytes = aRead == mReadBytes ? mSocket.available(ignored) : 0;
}

void
CallerConnection::ParseNext()
{
  if (!mServing && !mClosing && QueuedBytes() <= kMaxUnreadBytes) {
    Parse();
  }
}

// The client may be sending still. Closing the connection then resets it, and
// the client may never see the response.
void
CallerConnection::Refuse(unsigned aStatus,
                         const std::string& aReason,
                         double aRetryAfter)
{
  mOwner.OnRefused(aStatus, aReason);
  mParser.reset();
  mRequest = {};
  mUnreadBytes = 0;
  mRefused = true;
  DropRead();
  SendResponse(
    WriteLocalResponse(
      { .mStatus = aStatus, .mReason = aReason, .mRetryAfter = aRetryAfter },
      "",
      "",
      false),
    false);
}

void
CallerConnection::GiveWay()
{
  if (mClosed) {
    return;
  }
  if (Phase() == limits::ConnectionPhase::kReceiving) {
    Refuse(503,
           "no memory for the request",
           kMinRetryAfter +
             kRetryAfterStep * static_cast<double>(mId % kRetryAfterSteps));
    return;
  }
  Disconnect();
}

void
CallerConnection::Disconnect()
{
  if (QueuedBytes() > 0 || mServing) {
    mResetsOnClose = true;
    http::SetResetOnClose(mSocket, true);
  }
  OnLost();
}

void
CallerConnection::OnLost()
{
  if (mServing) {
    mOwner.OnDisconnected(*this);
  }
  Close();
}

void
CallerConnection::Sweep(TimePoint aNow)
{
  if (mClosed) {
    return;
  }
  if (QueuedBytes() > 0 && aNow - mWriteProgressAt > kWriteTimeout) {
    Disconnect();
    return;
  }
  const Duration quiet = aNow - mRequestOrIdleSince;
  if (mRefused) {
    if (quiet > kDrainTimeout && QueuedBytes() == 0) {
      Close();
    }
    return;
  }
  if (mServing || mClosing) {
    return;
  }
  const CallerLimits limits = mOwner.Limits();
  if (IsIdle()) {
    if (quiet > limits.mIdleTimeout + kIdleTimeoutSlack) {
      Close();
    }
    return;
  }
  const bool header = !mParser || !mParser->is_header_done();
  if (quiet > (header ? limits.mHeaderTimeout : kBodyTimeout)) {
    Refuse(408, "the request took too long to come");
  }
}

void
CallerConnection::Close()
{
  if (mClosed) {
    return;
  }
  mClosed = true;
  http::ErrorCode ignored;
  if (mResetsOnClose && mStreamIsWhole && QueuedBytes() == 0) {
    mResetsOnClose = false;
    http::SetResetOnClose(mSocket, false);
  }
  if (!mResetsOnClose) {
    mSocket.shutdown(http::Tcp::socket::shutdown_send, ignored);
  }
  mSocket.close(ignored);
  mOwner.OnClosed(*this);
}

} // namespace peridotspool::gateway
