// Responses to a caller.

#include "http/ServerConnection.h"

#include <utility>

namespace peridotspool::http {

void
ServerConnection::Respond(ExchangeId aExchange, HttpResponse aResponse)
{
  if (!IsCurrent(aExchange) || mStreaming) {
    return;
  }
  mResponseEnded = true;
  Queue(WholeResponse(std::move(aResponse), Framing()));
}

void
ServerConnection::BeginStream(ExchangeId aExchange, const HttpResponse& aHead)
{
  if (!IsCurrent(aExchange) || mStreaming) {
    return;
  }
  mStreaming = true;
  // Before HTTP/1.1 only the connection's end can end a body of unknown size.
  mKeepAlive = mKeepAlive && mVersion >= 11;
  Queue(StreamHead(aHead, Framing()));
}

void
ServerConnection::SendPiece(ExchangeId aExchange, const std::string& aBytes)
{
  if (!IsCurrent(aExchange) || !mStreaming || aBytes.empty()) {
    return;
  }
  // A reader slower than its answer would grow the queue without end, and
  // memory with it; the caller attaches again with Last-Event-ID.
  if (mQueuedBytes > 0 &&
      mQueuedBytes + aBytes.size() > mOptions.mMaxQueuedBytes) {
    Close();
    return;
  }
  Queue(mVersion >= 11 ? Chunk(aBytes) : aBytes);
}

void
ServerConnection::EndStream(ExchangeId aExchange)
{
  if (!IsCurrent(aExchange) || !mStreaming) {
    return;
  }
  mResponseEnded = true;
  Queue(mVersion >= 11 ? "0\r\n\r\n" : "");
}

void
ServerConnection::CloseWhenSent()
{
  mCloseWhenSent = true;
  if (!mWriting) {
    Close();
  }
}

void
ServerConnection::Queue(std::string aBytes)
{
  mQueuedBytes += aBytes.size();
  mQueue.push_back(std::move(aBytes));
  if (!mWriting) {
    WriteNext();
  }
  mOwner.Held(*this);
}

void
ServerConnection::WriteNext()
{
  mWritten = 0;
  if (mQueue.size() == 1) {
    mInFlight = std::move(mQueue.front());
  } else {
    mInFlight.clear();
    for (const std::string& bytes : mQueue) {
      mInFlight += bytes;
    }
  }
  mQueue.clear();
  mWriting = true;
  WriteSome();
}

void
ServerConnection::WriteSome()
{
  mStream.expires_after(mOptions.mIdleTimeout);
  mStream.async_write_some(
    net::buffer(mInFlight) + mWritten,
    [self = shared_from_this()](auto aError, std::size_t aBytes) {
      self->OnWritten(aError, aBytes);
    });
}

void
ServerConnection::OnWritten(ErrorCode aError, std::size_t aBytes)
{
  mWriting = false;
  if (aError || mClosed) {
    Close();
    return;
  }
  mTransferred += aBytes;
  mWritten += aBytes;
  if (mWritten < mInFlight.size()) {
    mWriting = true;
    WriteSome();
    mOwner.Held(*this);
    return;
  }
  mQueuedBytes -= std::exchange(mInFlight, {}).size();
  if (!mQueue.empty()) {
    WriteNext();
  } else {
    mStream.expires_never();
    OnAllSent();
  }
  if (!mClosed) {
    mOwner.Held(*this);
  }
}

void
ServerConnection::OnAllSent()
{
  if (mExchange != 0 && mResponseEnded) {
    FinishResponse();
  } else if (mDrainBeforeClose) {
    DrainThenClose();
  } else if (mCloseWhenSent) {
    Close();
  }
}

} // namespace peridotspool::http
