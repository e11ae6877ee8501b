#include "gateway/CallerConnection.h"

#include "gateway/SocketOptions.h"
#include "peridotspool/base/TextCapacity.h"
#include "peridotspool/gateway/HeaderRules.h"

#include <spdlog/fmt/fmt.h>

#include <utility>

namespace peridotspool::gateway {

namespace {

namespace net = http::net;
namespace beast_http = http::beast_http;

/** Of a connection that waits for a request, and of one that receives it. */
constexpr std::size_t kFirstReadBytes = 4U << 10;
constexpr std::size_t kReadBytes = 16U << 10;
/** Bytes of further requests that are read while one is being served. */
constexpr std::size_t kMaxReadAheadBytes = 4U << 10;
/** Bytes that may wait in the kernel. */
constexpr int kReceiveBufferBytes = 64U << 10;
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
  mSocket.set_option(net::socket_base::receive_buffer_size(kReceiveBufferBytes),
                     ignored);
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
  return IsIdle() ? kIdle : kReceiving;
}

limits::ConnectionState
CallerConnection::State() const
{
  const std::size_t body = mParser ? mParser->get().body().capacity() : 0;
  return { .mPhase = Phase(),
           .mBytes = mBuffer.capacity() + mUnreadBytes + mRequestBytes + body +
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
    if (mServing) {
      mOwner.OnDisconnected(*this);
    }
    Close();
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
  mResetsOnClose = QueuedBytes() > 0 || mServing;
  if (mResetsOnClose) {
    SetResetOnClose(mSocket, true);
  }
  if (mServing) {
    mOwner.OnDisconnected(*this);
  }
  Close();
}

void
CallerConnection::SendResponse(std::string aBytes, bool aKeepAlive)
{
  if (mPending.empty()) {
    mPending = std::move(aBytes);
    Flush();
    ReportHeld();
  } else {
    Write(aBytes);
  }
  FinishResponse(aKeepAlive);
}

// A caller of HTTP/1.0 takes any close in order for the end of the response,
// also one by the end of this process.
void
CallerConnection::BeginStream(std::string_view aHead, BodyFraming aFraming)
{
  mStreamFraming = aFraming;
  if (aFraming == BodyFraming::kConnection) {
    mResetsOnClose = true;
    SetResetOnClose(mSocket, true);
  }
  Write(aHead);
}

void
CallerConnection::SendPart(std::string_view aBytes)
{
  if (aBytes.empty()) {
    return;
  }
  if (mStreamFraming == BodyFraming::kConnection) {
    Write(aBytes);
    return;
  }
  mPending += fmt::format("{:x}\r\n", aBytes.size());
  mPending.append(aBytes).append("\r\n");
  Flush();
  ReportHeld();
}

void
CallerConnection::FinishStream(bool aKeepAlive)
{
  if (mStreamFraming == BodyFraming::kConnection) {
    mStreamIsWhole = true;
  } else {
    Write("0\r\n\r\n");
  }
  FinishResponse(aKeepAlive);
}

void
CallerConnection::FinishResponse(bool aKeepAlive)
{
  mServing = false;
  mRequestBytes = 0;
  mRequestOrIdleSince = mOwner.Now();
  if (!aKeepAlive) {
    mClosing = true;
    if (QueuedBytes() == 0) {
      EndAfterWrite();
    }
    return;
  }
  if (mBuffer.size() > 0) {
    // Deferred, because the owner is still handling the previous request.
    net::post(mSocket.get_executor(),
              [self = shared_from_this()] { self->ContinueReading(); });
  }
  Read();
}

void
CallerConnection::ContinueReading()
{
  if (!mClosed && mBuffer.size() > 0) {
    ParseNext();
    ReportHeld();
  }
  Read();
}

void
CallerConnection::EndAfterWrite()
{
  if (!mRefused) {
    Close();
    return;
  }
  http::ErrorCode ignored;
  mSocket.shutdown(http::Tcp::socket::shutdown_send, ignored);
  Read();
}

void
CallerConnection::Abort()
{
  FinishResponse(false);
}

void
CallerConnection::Write(std::string_view aBytes)
{
  mPending.append(aBytes);
  Flush();
  ReportHeld();
}

void
CallerConnection::Flush()
{
  if (!mWriting.empty() || mPending.empty() || mClosed) {
    return;
  }
  mWriting.swap(mPending);
  mWriteProgressAt = mOwner.Now();
  WriteSome();
}

void
CallerConnection::WriteSome()
{
  mSocket.async_write_some(
    net::buffer(mWriting) + mWritten,
    [self = shared_from_this()](http::ErrorCode aError, std::size_t aBytes) {
      self->OnWritten(aError, aBytes);
    });
}

void
CallerConnection::OnWritten(http::ErrorCode aError, std::size_t aBytes)
{
  if (mClosed) {
    return;
  }
  if (aError) {
    if (mServing) {
      mOwner.OnDisconnected(*this);
    }
    Close();
    return;
  }
  mTransferred += aBytes;
  mWritten += aBytes;
  mWriteProgressAt = mOwner.Now();
  if (mWritten < mWriting.size()) {
    WriteSome();
    ReportHeld();
    return;
  }
  ReleaseWritten();
  Flush();
  if (QueuedBytes() == 0 && mClosing) {
    EndAfterWrite();
  } else {
    ContinueReading();
  }
  ReportHeld();
}

// The buffer is kept for the next response unless it is large.
void
CallerConnection::ReleaseWritten()
{
  mWritten = 0;
  if (mWriting.capacity() > kReadBytes) {
    FreeText(mWriting);
  } else {
    mWriting.clear();
  }
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
    SetResetOnClose(mSocket, false);
  }
  if (!mResetsOnClose) {
    mSocket.shutdown(http::Tcp::socket::shutdown_send, ignored);
  }
  mSocket.close(ignored);
  mOwner.OnClosed(*this);
}

} // namespace peridotspool::gateway
