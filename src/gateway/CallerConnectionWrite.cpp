// Responses to a caller.

#include "gateway/CallerConnection.h"
#include "http/ResetOnClose.h"
#include "peridotspool/base/TextCapacity.h"

#include <spdlog/fmt/fmt.h>

#include <utility>

namespace peridotspool::gateway {

namespace {

namespace net = http::net;

/** A buffer that a response has made larger is freed after the response. */
constexpr std::size_t kMaxKeptBytes = 16U << 10;

} // namespace

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
    http::SetResetOnClose(mSocket, true);
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
    OnLost();
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

void
CallerConnection::ReleaseWritten()
{
  mWritten = 0;
  if (mWriting.capacity() > kMaxKeptBytes) {
    FreeText(mWriting);
  } else {
    mWriting.clear();
  }
}

} // namespace peridotspool::gateway
