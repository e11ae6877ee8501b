#include "http/ServerConnection.h"

#include "peridotspool/base/TextCapacity.h"

#include <boost/asio/write.hpp>
#include <utility>

namespace peridotspool::http {

namespace {

/** How long a refused caller may go on sending before the connection ends. */
constexpr std::chrono::seconds kDrainTimeout{ 2 };
constexpr std::uint32_t kUnavailable = 503;
/** Bytes that may wait in the kernel. */
constexpr int kReceiveBufferBytes = 64 << 10;
/** Room for body bytes that come with the header. */
constexpr std::size_t kReadAheadBytes = 64 << 10;

} // namespace

ServerConnection::ServerConnection(Tcp::socket aSocket,
                                   const HttpServerOptions& aOptions,
                                   ServerConnectionOwner& aOwner,
                                   limits::ConnectionId aId)
  : mOptions(aOptions)
  , mOwner(aOwner)
  , mId(aId)
  , mStream(std::move(aSocket))
  , mBuffer(aOptions.mMaxHeaderBytes + kReadAheadBytes)
{
  ErrorCode ignored;
  mStream.socket().set_option(Tcp::no_delay(true), ignored);
  mStream.socket().set_option(
    net::socket_base::receive_buffer_size(kReceiveBufferBytes), ignored);
}

void
ServerConnection::Run()
{
  StartRequest();
}

void
ServerConnection::TurnAway()
{
  RefuseWith(kUnavailable, "too many connections");
}

limits::ConnectionPhase
ServerConnection::Phase() const
{
  using enum limits::ConnectionPhase;
  if (mDrainBeforeClose) {
    return kDraining;
  }
  if (mQueuedBytes > 0) {
    return kSending;
  }
  if (mExchange != 0) {
    return kServing;
  }
  const bool isReceiving =
    mRequestBytes > 0 || (mParser && mParser->got_some());
  return isReceiving ? kReceiving : kIdle;
}

limits::ConnectionState
ServerConnection::State() const
{
  const std::size_t body = mParser ? mParser->get().body().capacity() : 0;
  return { .mPhase = Phase(),
           .mBytes = mBuffer.capacity() + mRequestBytes + body + mQueuedBytes,
           .mTransferred = mTransferred,
           .mIsAhead = mBuffer.size() > 0 };
}

void
ServerConnection::GiveWay()
{
  if (Phase() != limits::ConnectionPhase::kReceiving) {
    Close();
    return;
  }
  // The parser stays until the read that uses it has ended.
  mStream.cancel();
  if (mParser) {
    FreeText(mParser->get().body());
  }
  mOwner.RefusedForBound();
  RefuseWith(kUnavailable, "no memory for the request");
}

void
ServerConnection::StartRequest()
{
  mParser.emplace();
  mParser->header_limit(static_cast<std::uint32_t>(mOptions.mMaxHeaderBytes));
  mParser->body_limit(mOptions.mMaxBodyBytes);
  // Until the header is complete, so that it can be taken alone.
  mParser->eager(false);
  mStream.expires_after(mOptions.mIdleTimeout);
  ReadSome();
}

void
ServerConnection::ReadSome()
{
  beast_http::async_read_some(
    mStream,
    mBuffer,
    *mParser,
    [self = shared_from_this()](auto aError, std::size_t aBytes) {
      self->OnSome(aError, aBytes);
    });
}

void
ServerConnection::OnSome(ErrorCode aError, std::size_t aBytes)
{
  if (mClosed || mDrainBeforeClose) {
    return;
  }
  mTransferred += aBytes;
  if (aError) {
    Refuse(aError);
    return;
  }
  const bool isHeader = mParser->is_header_done() && mRequest.mMethod.empty();
  if (isHeader) {
    OnHeader();
  } else if (mParser->is_done()) {
    OnRequest();
  } else {
    mOwner.Held(*this);
    ReadSome();
  }
}

// The fields are taken before the body is parsed, because the parser adds
// trailers to them, and no trailer may stand for a field of the header.
void
ServerConnection::OnHeader()
{
  auto& header = mParser->get().base();
  mRequest = FromBeast(header);
  mVersion = header.version();
  mKeepAlive = mParser->get().keep_alive();
  const bool expects = header[beast_http::field::expect] == "100-continue";
  header.clear();
  mRequestBytes = HeldBytes(mRequest);
  mParser->eager(true);
  if (mParser->is_done()) {
    OnRequest();
  } else if (expects) {
    SendContinue();
  } else {
    mOwner.Held(*this);
    ReadSome();
  }
}

void
ServerConnection::SendContinue()
{
  static constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
  net::async_write(mStream,
                   net::buffer(kContinue),
                   [self = shared_from_this()](auto aError, auto) {
                     if (aError) {
                       self->Close();
                     } else if (!self->mClosed && !self->mDrainBeforeClose) {
                       self->ReadSome();
                     }
                   });
}

void
ServerConnection::OnRequest()
{
  mStream.expires_never();
  mRequest.mBody = std::move(mParser->get().body());
  mParser.reset();
  mRequestBytes = HeldBytes(mRequest);
  // A request that is served can't give way any more, so it has to fit before.
  mOwner.Held(*this);
  mOwner.EnforceBounds();
  if (mClosed || mDrainBeforeClose) {
    return;
  }
  mResponseEnded = false;
  mStreaming = false;
  mExchange =
    mOwner.Opened(shared_from_this(), std::exchange(mRequest, HttpRequest{}));
  mOwner.Held(*this);
  WatchForEnd();
}

void
ServerConnection::Refuse(ErrorCode aError)
{
  using Error = beast_http::error;
  const bool isParseError =
    aError.category() == make_error_code(Error::end_of_stream).category();
  if (mClosed || !isParseError || aError == Error::end_of_stream ||
      aError == Error::partial_message) {
    Close();
  } else if (aError == Error::body_limit) {
    mOwner.RefusedForBound();
    RefuseWith(413, "the body is over its bound");
  } else if (aError == Error::header_limit ||
             aError == Error::buffer_overflow) {
    mOwner.RefusedForBound();
    RefuseWith(431, "the header is over its bound");
  } else {
    RefuseWith(400, "not a request of HTTP/1.1");
  }
}

void
ServerConnection::RefuseWith(std::uint32_t aStatus, const std::string& aReason)
{
  mCloseWhenSent = true;
  mDrainBeforeClose = true;
  mRequest = {};
  mRequestBytes = 0;
  HttpResponse response{ .mStatus = aStatus,
                         .mHeaders = { { "content-type", "application/json" } },
                         .mBody =
                           R"({"reason":")" + aReason + R"(","ran":"no"})" };
  if (aStatus == kUnavailable) {
    response.mHeaders["retry-after"] = "1";
  }
  Queue(WholeResponse(std::move(response), { .mKeepAlive = false }));
}

// A caller that went away during a long answer sends nothing more, so without
// reading, its end would be noticed only by a later write, and the work for it
// would go on until then. Waiting for readability sees its FIN at once.
void
ServerConnection::WatchForEnd()
{
  if (mWatching || mClosed) {
    return;
  }
  mWatching = true;
  mStream.socket().async_wait(Tcp::socket::wait_read,
                              [self = shared_from_this()](ErrorCode aError) {
                                self->OnReadable(aError);
                              });
}

void
ServerConnection::OnReadable(ErrorCode aError)
{
  mWatching = false;
  if (aError || mClosed || mExchange == 0) {
    return;
  }
  // With bytes of a next request waiting, the end can't be seen from here; it
  // is then seen by the next write or read.
  ErrorCode error;
  if (mStream.socket().available(error) == 0) {
    Close();
  }
}

void
ServerConnection::FinishResponse()
{
  mOwner.Completed(std::exchange(mExchange, 0));
  mRequestBytes = 0;
  if (mBuffer.size() == 0) {
    mBuffer.shrink_to_fit();
  }
  if (mKeepAlive && !mCloseWhenSent) {
    StartRequest();
  } else {
    Close();
  }
}

// Closing while the caller still sends makes its system drop our answer along
// with the connection; it would see a reset in place of the reason. So the end
// of our side is sent first and what still comes is thrown away for a while.
void
ServerConnection::DrainThenClose()
{
  ErrorCode ignored;
  mStream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
  mStream.expires_after(kDrainTimeout);
  auto drain = [self = shared_from_this()](auto& aDrain) -> void {
    self->mBuffer.clear();
    self->mStream.async_read_some(self->mBuffer.prepare(kReadAheadBytes),
                                  [self, aDrain](auto aError, auto) {
                                    if (aError) {
                                      self->Close();
                                    } else {
                                      aDrain(aDrain);
                                    }
                                  });
  };
  drain(drain);
}

void
ServerConnection::Close()
{
  if (std::exchange(mClosed, true)) {
    return;
  }
  ErrorCode ignored;
  mStream.socket().shutdown(Tcp::socket::shutdown_both, ignored);
  mStream.close();
  if (mExchange != 0) {
    mOwner.Gone(std::exchange(mExchange, 0));
  }
  mOwner.Closed(shared_from_this());
}

bool
ServerConnection::IsCurrent(ExchangeId aExchange) const
{
  return !mClosed && aExchange == mExchange && !mResponseEnded;
}

ResponseFraming
ServerConnection::Framing()
{
  mKeepAlive = mKeepAlive && !mCloseWhenSent && mOwner.MayKeepAlive();
  return { .mVersion = mVersion, .mKeepAlive = mKeepAlive };
}

} // namespace peridotspool::http
