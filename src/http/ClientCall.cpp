#include "http/ClientCall.h"

#include "http/Conversions.h"
#include "http/ResetOnClose.h"
#include "http/StatusKind.h"
#include "http/TransferEncoding.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <utility>

namespace peridotspool::http {

namespace {

constexpr std::size_t kMaxInterimResponses = 16;
constexpr std::size_t kReadBytes = std::size_t{ 8 } << 10;

} // namespace

ClientCall::ClientCall(ClientCallOwner& aOwner,
                       ClientCallId aId,
                       Address aPeer,
                       HttpRequest aRequest,
                       std::chrono::milliseconds aSilenceTimeout)
  : mOwner(aOwner)
  , mId(aId)
  , mPeer(std::move(aPeer))
  , mSilenceTimeout(aSilenceTimeout)
  , mWire(WholeRequest(std::move(aRequest), mPeer))
{
}

void
ClientCall::Run()
{
  if (mMuted) {
    return;
  }
  if (!mWire) {
    FailAsNotSent("the method or the path can't be sent");
    return;
  }
  mConnection = mOwner.Idle().Take(mPeer);
  mReusedConnection = mConnection != nullptr;
  if (mReusedConnection) {
    Write();
  } else {
    Connect();
  }
}

void
ClientCall::Connect()
{
  mReusedConnection = false;
  mConnection = std::make_unique<ClientConnection>(
    mOwner.Io(), mPeer, mOwner.Options().mMaxHeaderBytes);
  ErrorCode error;
  const auto host = net::ip::make_address(mPeer.mHost, error);
  if (error) {
    FailAsNotSent("not an IP number: " + mPeer.mHost);
    return;
  }
  mConnection->mStream.expires_after(mOwner.Options().mConnectTimeout);
  mConnection->mStream.async_connect(
    Tcp::endpoint(host, mPeer.mPort),
    [self = shared_from_this()](auto aError) { self->OnConnected(aError); });
}

void
ClientCall::OnConnected(ErrorCode aError)
{
  if (aError || mEnded) {
    Fail(aError);
    return;
  }
  ErrorCode ignored;
  mConnection->mStream.socket().set_option(Tcp::no_delay(true), ignored);
  Write();
}

// Closed in order, what the peer has not acknowledged yet would be sent again
// for minutes, and could arrive after the caller has long acted on the failure.
// Set before, as the stream closes its socket itself when it times out.
void
ClientCall::Write()
{
  SetResetOnClose(mConnection->mStream.socket(), true);
  mConnection->mStream.expires_after(mSilenceTimeout);
  net::async_write(mConnection->mStream,
                   net::buffer(*mWire),
                   [self = shared_from_this()](auto aError, auto aWritten) {
                     self->OnWritten(aError, aWritten);
                   });
}

void
ClientCall::OnWritten(ErrorCode aError, std::size_t aWritten)
{
  mMayHaveBeenSent = aWritten > 0;
  mWriteError = aError;
  if (mEnded) {
    return;
  }
  if (!aError) {
    ReadHeader();
    return;
  }
  // A kept connection that the peer closed since it was looked at fails here
  // with nothing written: the request surely did not run, and a new connection
  // may well work. Failing the call would look like a dead peer.
  if (mReusedConnection && !mMayHaveBeenSent &&
      aError != beast::error::timeout) {
    Connect();
  } else if (mMayHaveBeenSent && aError != beast::error::timeout) {
    // The peer may have refused the request by its header and stopped reading.
    ReadHeader();
  } else {
    Fail(aError);
  }
}

void
ClientCall::ReadHeader()
{
  mParser.emplace();
  mParser->header_limit(
    static_cast<std::uint32_t>(mOwner.Options().mMaxHeaderBytes));
  mParser->body_limit(mOwner.Options().mMaxBodyBytes);
  mHeadScanner = HeadScanner{};
  mConnection->mStream.expires_after(mSilenceTimeout);
  ParseHeader();
}

void
ClientCall::ReadHeaderBytes()
{
  auto& buffer = mConnection->mBuffer;
  mConnection->mStream.async_read_some(
    buffer.prepare(std::min(kReadBytes, buffer.max_size() - buffer.size())),
    [self = shared_from_this()](auto aError, auto aBytes) {
      if (aError || self->mEnded) {
        self->Fail(aError);
        return;
      }
      self->mConnection->mBuffer.commit(aBytes);
      self->ParseHeader();
    });
}

// The parser gets a head only once it is complete and checked, as it accepts
// continuation lines.
void
ClientCall::ParseHeader()
{
  auto& buffer = mConnection->mBuffer;
  const std::string_view bytes(static_cast<const char*>(buffer.data().data()),
                               buffer.size());
  const auto end = mHeadScanner.FindEnd(bytes);
  const std::size_t size = end.value_or(bytes.size());
  ErrorCode error;
  if (size > mOwner.Options().mMaxHeaderBytes) {
    error = beast_http::error::header_limit;
  } else if (!HeadScanner::CanBeHttp(bytes)) {
    error = beast_http::error::bad_version;
  } else if (end && !HeadScanner::HasFieldNames(bytes.substr(0, size))) {
    error = beast_http::error::bad_field;
  } else if (!end) {
    ReadHeaderBytes();
    return;
  } else {
    mParser->put(net::buffer(buffer.data(), size), error);
    buffer.consume(size);
  }
  if ((error && error != beast_http::error::need_more) ||
      !mParser->is_header_done()) {
    Fail(error);
    return;
  }
  OnHeader();
}

void
ClientCall::OnHeader()
{
  const auto& head = mParser->get();
  const StatusKind kind = KindOfStatus(head.result_int());
  if (kind == StatusKind::kInvalid || mInterim == kMaxInterimResponses) {
    Fail(beast_http::error::bad_status);
    return;
  }
  if (!HasKnownTransferEncoding(head)) {
    Fail(beast_http::error::bad_transfer_encoding);
    return;
  }
  if (kind == StatusKind::kInterim) {
    ++mInterim;
    ReadHeader();
    return;
  }
  Emit(CallHead{ .mStatus = head.result_int(), .mHeaders = FieldsOf(head) },
       false);
  if (mParser->is_done()) {
    Finish();
  } else {
    ReadSome();
  }
}

void
ClientCall::ReadSome()
{
  if (mEnded) {
    return;
  }
  mConnection->mStream.expires_after(mSilenceTimeout);
  beast_http::async_read_some(
    mConnection->mStream,
    mConnection->mBuffer,
    *mParser,
    [self = shared_from_this()](auto aError, auto) { self->OnSome(aError); });
}

void
ClientCall::OnSome(ErrorCode aError)
{
  if (mEnded) {
    return;
  }
  std::string bytes = std::exchange(mParser->get().body(), {});
  if (!bytes.empty()) {
    Emit(CallPiece{ std::move(bytes) }, false);
  }
  if (aError) {
    Fail(aError);
  } else if (mParser->is_done()) {
    Finish();
  } else {
    ReadSome();
  }
}

// A reset that the write was told of looks like a close when it is read, and
// ends a response without a length before its end.
void
ClientCall::Finish()
{
  if (mEnded) {
    return;
  }
  if (mWriteError && mParser->need_eof()) {
    Fail(mWriteError);
    return;
  }
  mEnded = true;
  SetResetOnClose(mConnection->mStream.socket(), false);
  if (!mWriteError && mParser->get().keep_alive() && !mParser->need_eof()) {
    mConnection->mStream.expires_never();
    mOwner.Idle().Keep(std::move(mConnection));
  } else {
    mConnection->mStream.close();
  }
  Emit(CallDone{}, true);
}

void
ClientCall::Fail(ErrorCode aError)
{
  if (mEnded) {
    return;
  }
  Abort();
  Emit(CallFailed{ .mReason = aError.message(),
                   .mMayHaveBeenSent = mMayHaveBeenSent,
                   .mTimedOut = aError == beast::error::timeout },
       true);
}

void
ClientCall::FailAsNotSent(const std::string& aReason)
{
  Abort();
  Emit(CallFailed{ .mReason = aReason, .mMayHaveBeenSent = false }, true);
}

void
ClientCall::Abort()
{
  mEnded = true;
  if (mConnection) {
    mConnection->mStream.close();
  }
}

void
ClientCall::Emit(CallEvent aEvent, bool aLast)
{
  if (!mMuted) {
    mOwner.Emit(*this, std::move(aEvent), aLast);
  }
}

} // namespace peridotspool::http
