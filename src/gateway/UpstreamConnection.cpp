#include "gateway/UpstreamConnection.h"

#include "gateway/SocketOptions.h"
#include "peridotspool/gateway/HeaderRules.h"

#include <boost/asio/write.hpp>

#include <utility>

namespace peridotspool::gateway {

namespace {

namespace net = http::net;
namespace beast_http = http::beast_http;

constexpr std::size_t kReadBytes = 8U << 10;
constexpr std::uint32_t kHeaderBytes = 64U << 10;
/** Bounds the late responses to earlier requests that are skipped before one
 * response. */
constexpr std::size_t kMaxSkippedResponses = 4;

/** Parses "timeout=N" of a Keep-Alive field. */
std::optional<Duration>
ParseKeepAlive(std::string_view aValue)
{
  constexpr std::string_view kTimeout = "timeout=";
  const std::size_t place = aValue.find(kTimeout);
  if (place == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view rest = aValue.substr(place + kTimeout.size());
  const auto seconds =
    ReadNumber(rest.substr(0, rest.find_first_not_of("0123456789")));
  if (!seconds) {
    return std::nullopt;
  }
  return std::chrono::seconds(*seconds);
}

template<typename Parser>
BodyFraming
FramingOf(const Parser& aParser)
{
  if (aParser.chunked()) {
    return BodyFraming::kChunked;
  }
  return aParser.need_eof() ? BodyFraming::kConnection : BodyFraming::kLength;
}

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
                         std::string aRequest,
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
UpstreamConnection::Send(std::string aRequest, UpstreamListener* aListener)
{
  mListener = aListener;
  mRequest = std::move(aRequest);
  mSkippedResponses = 0;
  StartParser();
  WriteRequest();
  Read();
}

void
UpstreamConnection::StartParser()
{
  mParser.emplace();
  mParser->eager(true);
  mParser->header_limit(kHeaderBytes);
  mParser->body_limit(boost::none);
  mHeadReported = false;
  mSkipping = false;
  mPaused = false;
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
    net::buffer(mRequest),
    [self = shared_from_this()](http::ErrorCode aError, std::size_t) {
      self->mWriting = false;
      self->mRequest.clear();
      if (aError && !self->mClosed && !self->mReading) {
        self->Fail(aError.message());
      }
    });
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
  Parse();
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
// treated as complete.
void
UpstreamConnection::OnReadEnd(http::ErrorCode aError)
{
  if (mListener == nullptr) {
    Close();
    return;
  }
  const bool clean = aError == net::error::eof;
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
  Fail(clean ? "the upstream closed" : aError.message());
}

void
UpstreamConnection::Parse()
{
  while (mBuffer.size() > 0 && mListener != nullptr && !mClosed) {
    http::ErrorCode error;
    const std::size_t used = mParser->put(mBuffer.data(), error);
    mBuffer.consume(used);
    if (error && error != beast_http::error::need_more) {
      Fail("malformed response: " + error.message());
      return;
    }
    if (mParser->is_header_done() && !mHeadReported && !HandleHead()) {
      return;
    }
    HandleBody();
    if (mListener == nullptr || mClosed) {
      return;
    }
    if (mParser->is_done()) {
      FinishResponse();
      return;
    }
    if (error || used == 0) {
      return;
    }
  }
}

bool
UpstreamConnection::HandleHead()
{
  const auto& message = mParser->get();
  mHeadReported = true;
  if (message.result_int() < 200) {
    mSkipping = true;
    return true;
  }
  ResponseHead head{ .mStatus = message.result_int(),
                     .mReason = std::string(message.reason()),
                     .mFields = {},
                     .mFraming = FramingOf(*mParser) };
  for (const auto& field : message) {
    head.mFields.emplace_back(field.name_string(), field.value());
  }
  mKeepAlive = mParser->keep_alive();
  mAdvertisedIdleTimeout = ParseKeepAlive(FieldOf(head.mFields, "keep-alive"));
  mSkipping = !mListener->OnHead(std::move(head));
  if (mSkipping && ++mSkippedResponses > kMaxSkippedResponses) {
    Fail("too many responses to other requests");
  }
  return !mClosed && mListener != nullptr;
}

void
UpstreamConnection::HandleBody()
{
  auto& body = mParser->get().body();
  if (body.empty() || !mHeadReported) {
    return;
  }
  std::string bytes = std::exchange(body, {});
  if (!mSkipping) {
    mListener->OnBody(std::move(bytes));
  }
}

void
UpstreamConnection::FinishResponse()
{
  if (mSkipping) {
    StartParser();
    Parse();
    return;
  }
  ++mServedRequests;
  mDialer.Path().RecordIdle(mId);
  UpstreamListener* listener = std::exchange(mListener, nullptr);
  listener->OnEnd();
}

bool
UpstreamConnection::IsReusable() const
{
  return !mClosed && mKeepAlive && !mWriting && mBuffer.size() == 0 &&
         mListener == nullptr && !mRecords.IsRetired();
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
  http::ErrorCode ignored;
  mSocket.close(ignored);
}

} // namespace peridotspool::gateway
