#include "gateway/UpstreamConnection.h"

#include "gateway/SocketOptions.h"

#include <boost/asio/write.hpp>

#include <array>
#include <utility>

namespace peridotspool::gateway {

namespace {

namespace net = http::net;

constexpr std::size_t kReadBytes = 8U << 10;

} // namespace

UpstreamConnection::UpstreamConnection(UpstreamDialer& aDialer,
                                       UpstreamName aName)
  : mDialer(aDialer)
  , mId(aDialer.NextConnectionId())
  , mSocket(aDialer.Io())
  , mName(std::move(aName))
{
}

void
UpstreamConnection::Open(const DialTarget& aTarget,
                         Duration aTimeout,
                         OutgoingRequest aRequest,
                         UpstreamListener* aListener)
{
  mListener = aListener;
  mRequest = std::move(aRequest);
  mDial = mDialer.Dial(
    aTarget, aTimeout, [self = shared_from_this()](DialResult aResult) {
      self->OnDialed(std::move(aResult));
    });
}

void
UpstreamConnection::OnDialed(DialResult aResult)
{
  mDial.reset();
  if (aResult.mFailure) {
    Fail(aResult.mReason, *aResult.mFailure);
    return;
  }
  mSocket = std::move(aResult.mSocket);
  mTunnel = std::move(aResult.mTunnel);
  mActiveAt = mDialer.Now();
  if (!mListener->OnConnected()) {
    Fail("the upstream wants no requests any more", {}, true);
    return;
  }
  SetSocketOptions(mSocket);
  SetKeepAlive(mSocket);
  StartParser();
  WriteRequest();
  Read();
}

void
UpstreamConnection::Send(OutgoingRequest aRequest, UpstreamListener* aListener)
{
  mListener = aListener;
  mRequest = std::move(aRequest);
  StartParser();
  WriteRequest();
  Read();
}

// The whole request is written even if its response comes first. Otherwise the
// upstream would read the bytes of the next request as the rest of the body.
void
UpstreamConnection::WriteRequest()
{
  mWriting = true;
  mSent = true;
  if (!mTunnel) {
    mDialer.Path().RecordRequest(mId, mName, mDialer.Now());
  }
  net::async_write(
    mSocket,
    std::array<net::const_buffer, 2>{ net::buffer(mRequest.mHead),
                                      net::buffer(*mRequest.mBody) },
    [self = shared_from_this()](http::ErrorCode aError, std::size_t) {
      self->mWriting = false;
      self->mRequest = {};
      if (aError) {
        self->OnWriteError(aError);
      }
    });
}

// What has come is read first: it may be a whole response, as an upstream may
// answer and close before it has read the request.
void
UpstreamConnection::OnWriteError(http::ErrorCode aError)
{
  mWriteError = aError;
  if (!mClosed && !mReading && !mPaused) {
    Fail(aError.message());
  }
}

void
UpstreamConnection::Read()
{
  if (mReading || mClosed || mPaused) {
    return;
  }
  mReading = true;
  if (mTunnel) {
    mRecordBytes.resize(kReadBytes);
  }
  mSocket.async_read_some(
    mTunnel ? net::buffer(mRecordBytes) : mBuffer.prepare(kReadBytes),
    [self = shared_from_this()](http::ErrorCode aError, std::size_t aBytes) {
      self->OnRead(aError, aBytes);
    });
}

void
UpstreamConnection::Resume()
{
  if (std::exchange(mPaused, false)) {
    mActiveAt = mDialer.Now();
    if (mListener != nullptr) {
      mListener->Guard().RecordPause();
    }
  }
  Read();
}

void
UpstreamConnection::OnRead(http::ErrorCode aError, std::size_t aBytes)
{
  mReading = false;
  if (mClosed) {
    return;
  }
  if (aError) {
    if (mTunnel) {
      OnRelayLost();
    } else {
      OnReadEnd(aError);
    }
    return;
  }
  mActiveAt = mDialer.Now();
  const std::size_t before = mBuffer.size();
  if (!mTunnel) {
    mBuffer.commit(aBytes);
    mDialer.Path().RecordReceived(mId, *mActiveAt);
  } else if (!ReadRecords(aBytes)) {
    return;
  }
  if (mListener == nullptr && mBuffer.size() > 0) {
    // Unsolicited bytes could be taken for the response to the next request.
    Close();
    return;
  }
  if (mListener != nullptr && mBuffer.size() > before) {
    mListener->Guard().RecordArrival(*mActiveAt);
  }
  Parse();
  if (mListener != nullptr) {
    mListener->OnHeld(mBuffer.size());
  }
  if (const auto end = mRecords.End(); end && !mClosed) {
    OnReadEnd(*end == TunnelRecordType::kClosed
                ? http::ErrorCode(net::error::eof)
                : http::ErrorCode(net::error::connection_reset));
    return;
  }
  Read();
}

// A response without a length ends with its connection. If the connection was
// reset instead of closed, the response may be truncated and must not be
// treated as complete. The system reports a reset once, to the write if one is
// under way, and what is read then ends as if the peer had closed.
void
UpstreamConnection::OnReadEnd(http::ErrorCode aError)
{
  if (mListener == nullptr) {
    Close();
    return;
  }
  const bool clean = aError == net::error::eof && !mWriteError;
  if (clean && mParser && mParser->is_header_done() && mHeadReported &&
      !mSkipping && mParser->need_eof()) {
    http::ErrorCode error;
    mParser->put_eof(error);
    if (!error && mParser->is_done()) {
      mKeepAlive = false;
      FinishResponse();
      return;
    }
  }
  Fail(mWriteError ? mWriteError.message()
       : clean     ? "the upstream closed"
                   : aError.message());
}

bool
UpstreamConnection::IsReusable() const
{
  return !mClosed && mKeepAlive && !mWriting && !mWriteError &&
         mBuffer.size() == 0 && mListener == nullptr && !mRecords.IsRetired();
}

bool
UpstreamConnection::IsStillOpen()
{
  return IsReusable() && !HasEofOrData(mSocket);
}

void
UpstreamConnection::Fail(const std::string& aReason,
                         const DialFailure& aFailure,
                         bool aCancelled)
{
  const ConnectionFailure failure{ .mReason = aReason,
                                   .mMayHaveBeenSent = mSent,
                                   .mReused = mServedRequests > 0,
                                   .mRefused = aFailure.mRefused,
                                   .mPathLost = aFailure.mPathLost,
                                   .mCancelled = aCancelled };
  UpstreamListener* listener = std::exchange(mListener, nullptr);
  Close();
  if (listener != nullptr) {
    listener->OnConnectionFailed(failure);
  }
}

void
UpstreamConnection::Drop()
{
  mListener = nullptr;
  Close();
}

void
UpstreamConnection::Close()
{
  if (mClosed) {
    return;
  }
  mClosed = true;
  if (const auto dial = std::exchange(mDial, nullptr)) {
    dial->Cancel();
  }
  mDialer.Path().RecordIdle(mId);
  mTunnel.reset();
  if (!mWriting) {
    mRequest = {};
  }
  http::ErrorCode ignored;
  mSocket.close(ignored);
}

} // namespace peridotspool::gateway
