#include "gateway/CallerConnection.h"

#include "gateway/SocketOptions.h"
#include "peridotspool/gateway/HeaderRules.h"

#include <boost/asio/write.hpp>

#include <spdlog/fmt/fmt.h>

namespace peridotspool::gateway {

namespace {

namespace net = http::net;
namespace beast_http = http::beast_http;

constexpr std::size_t kReadBytes = 16U << 10;
/** Bytes of further requests that are read while one is being served. */
constexpr std::size_t kMaxReadAheadBytes = 64U << 10;
/** Bounds the time from the first byte of a request to the end of its body. */
constexpr Duration kBodyTimeout = std::chrono::seconds(20);
/** Added to the idle time-out, up to which callers reuse a connection. */
constexpr Duration kIdleTimeoutSlack = std::chrono::seconds(1);

} // namespace

CallerConnection::CallerConnection(http::Tcp::socket aSocket,
                                   CallerConnectionOwner& aOwner)
  : mSocket(std::move(aSocket))
  , mOwner(aOwner)
  , mRequestOrIdleSince(aOwner.Now())
{
  SetSocketOptions(mSocket);
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

void
CallerConnection::Read()
{
  if (mReading || mClosed ||
      ((mServing || mClosing) && mBuffer.size() > kMaxReadAheadBytes)) {
    return;
  }
  mReading = true;
  mSocket.async_read_some(
    mBuffer.prepare(kReadBytes),
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
  mBuffer.commit(aBytes);
  if (!mServing && !mClosing) {
    Parse();
  }
  Read();
}

void
CallerConnection::Refuse(unsigned aStatus, const std::string& aReason)
{
  mOwner.OnMalformed(aStatus, aReason);
  mParser.reset();
  mServing = true;
  SendResponse(WriteLocalResponse(
                 { .mStatus = aStatus, .mReason = aReason }, "", "", false),
               false);
}

void
CallerConnection::SendResponse(std::string_view aBytes, bool aKeepAlive)
{
  Write(aBytes);
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
  mRequestOrIdleSince = mOwner.Now();
  if (!aKeepAlive) {
    mClosing = true;
    if (mWriting.empty()) {
      Close();
    }
    return;
  }
  if (mBuffer.size() > 0) {
    // Deferred, because the owner is still handling the previous request.
    net::post(mSocket.get_executor(), [self = shared_from_this()] {
      if (!self->mClosed && !self->mServing) {
        self->Parse();
        self->Read();
      }
    });
  }
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
}

void
CallerConnection::Flush()
{
  if (!mWriting.empty() || mPending.empty() || mClosed) {
    return;
  }
  mWriting.swap(mPending);
  net::async_write(
    mSocket,
    net::buffer(mWriting),
    [self = shared_from_this()](http::ErrorCode aError, std::size_t) {
      self->OnWritten(aError);
    });
}

void
CallerConnection::OnWritten(http::ErrorCode aError)
{
  mWriting.clear();
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
  Flush();
  if (mWriting.empty() && mClosing) {
    Close();
  }
}

void
CallerConnection::Sweep(TimePoint aNow)
{
  if (mServing || mClosed) {
    return;
  }
  const CallerLimits limits = mOwner.Limits();
  const Duration quiet = aNow - mRequestOrIdleSince;
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
