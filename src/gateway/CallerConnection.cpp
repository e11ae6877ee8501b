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
CallerConnection::Parse()
{
  if (!mParser) {
    const CallerLimits limits = mOwner.Limits();
    mParser.emplace();
    mParser->eager(true);
    mParser->header_limit(static_cast<std::uint32_t>(limits.mHeaderBytes));
    mParser->body_limit(limits.mBodyBytes);
    mHeadChecked = false;
    mRequestOrIdleSince = mOwner.Now();
  }
  while (mBuffer.size() > 0) {
    http::ErrorCode error;
    const std::size_t used = mParser->put(mBuffer.data(), error);
    mBuffer.consume(used);
    if (error && error != beast_http::error::need_more) {
      RefuseFor(error);
      return;
    }
    if (mParser->is_header_done() && !mHeadChecked) {
      mHeadChecked = true;
      if (const std::string fault = FramingFault(); !fault.empty()) {
        Refuse(400, fault);
        return;
      }
      if (!mParser->is_done() &&
          EqualsIgnoreCase(mParser->get()[beast_http::field::expect],
                           "100-continue")) {
        Write("HTTP/1.1 100 Continue\r\n\r\n");
      }
    }
    if (mParser->is_done()) {
      OnParsed();
      return;
    }
    if (error || used == 0) {
      return;
    }
  }
}

// Guards against request smuggling: if two parsers disagree about the framing,
// a request can carry another one in its body. The parser rejects most such
// requests. Legal but rare framing is rejected as well, because an upstream may
// interpret it differently.
std::string
CallerConnection::FramingFault() const
{
  const auto& head = mParser->get();
  const auto count = [&](beast_http::field aField) {
    return head.count(aField);
  };
  if (count(beast_http::field::content_length) > 1) {
    return "two content lengths";
  }
  const std::size_t encodings = count(beast_http::field::transfer_encoding);
  if (encodings > 0 && count(beast_http::field::content_length) > 0) {
    return "a length and an encoding";
  }
  if (encodings > 1 ||
      (encodings == 1 &&
       !EqualsIgnoreCase(head[beast_http::field::transfer_encoding],
                         "chunked"))) {
    return "an unknown transfer encoding";
  }
  if (head.version() != 11 && encodings > 0) {
    return "chunks in an old version";
  }
  if (count(beast_http::field::host) != 1) {
    return "not one host";
  }
  return {};
}

void
CallerConnection::OnParsed()
{
  auto message = mParser->release();
  mParser.reset();
  CallerRequest request{ .mMethod = std::string(message.method_string()),
                         .mTarget = std::string(message.target()),
                         .mFields = {},
                         .mBody = std::move(message.body()),
                         .mKeepAlive =
                           message.keep_alive() && message.version() == 11,
                         .mStreamFraming = message.version() >= 11
                                             ? BodyFraming::kChunked
                                             : BodyFraming::kConnection };
  for (const auto& field : message.base()) {
    request.mFields.emplace_back(field.name_string(), field.value());
  }
  mServing = true;
  mOwner.OnRequest(shared_from_this(), std::move(request));
}

void
CallerConnection::RefuseFor(http::ErrorCode aError)
{
  if (aError == beast_http::error::body_limit) {
    Refuse(413, "the body is over its bound");
  } else if (aError == beast_http::error::header_limit) {
    Refuse(431, "the header is over its bound");
  } else {
    Refuse(400, aError.message());
  }
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
