// Parsing of an upstream's responses within the bounds of their guard.

#include "gateway/UpstreamConnection.h"
#include "http/StatusKind.h"
#include "http/TransferEncoding.h"
#include "peridotspool/gateway/HeaderRules.h"

#include <algorithm>
#include <utility>

namespace peridotspool::gateway {

namespace {

namespace beast_http = http::beast_http;

/** A longer head is rejected before it is parsed. */
constexpr std::uint32_t kHeaderBytes = 64U << 10;
/** A buffer that a response has made larger is freed after the response. */
constexpr std::size_t kMaxIdleBufferBytes = 16U << 10;

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

std::string_view
TextOf(const http::beast::flat_buffer& aBuffer)
{
  return { static_cast<const char*>(aBuffer.data().data()), aBuffer.size() };
}

} // namespace

void
UpstreamConnection::StartParser()
{
  mParser.emplace();
  mParser->eager(true);
  mParser->header_limit(kHeaderBytes);
  mParser->body_limit(boost::none);
  mHeadScanner = http::HeadScanner{};
  mHeadReported = false;
  mSkipping = false;
  mPaused = false;
}

void
UpstreamConnection::Parse()
{
  while (mBuffer.size() > 0 && mListener != nullptr && !mClosed) {
    const bool mayContinue = mHeadReported ? ParseBody() : ParseHead();
    if (mListener == nullptr || mClosed) {
      return;
    }
    if (mParser->is_done()) {
      FinishResponse();
    } else if (!mayContinue) {
      return;
    }
  }
}

bool
UpstreamConnection::IsWithin(const std::optional<limits::BrokenBound>& aBroken)
{
  if (!aBroken) {
    return true;
  }
  UpstreamListener* const listener = std::exchange(mListener, nullptr);
  Close();
  listener->OnBoundBroken(*aBroken);
  return false;
}

bool
UpstreamConnection::RejectAsNotHttp()
{
  return IsWithin(
    limits::BrokenBound{ .mBound = limits::ResponseBound::kNotHttp,
                         .mPhase = mHeadReported ? limits::ResponsePhase::kBody
                                                 : limits::ResponsePhase::kHead,
                         .mBytes = mBuffer.size() });
}

// Returns false iff more bytes are needed. The parser gets a head only once it
// is complete and within its bounds.
bool
UpstreamConnection::ParseHead()
{
  const std::string_view bytes = TextOf(mBuffer);
  const auto end = mHeadScanner.FindEnd(bytes);
  if (!http::HeadScanner::CanBeHttp(bytes)) {
    return RejectAsNotHttp();
  }
  const std::size_t size = end.value_or(bytes.size());
  if (!IsWithin(mListener->Guard().CheckHead(size, mHeadScanner.Lines())) ||
      !end) {
    return false;
  }
  if (!http::HeadScanner::HasFieldNames(bytes.substr(0, size))) {
    return RejectAsNotHttp();
  }
  http::ErrorCode error;
  mParser->put(http::net::buffer(mBuffer.data(), size), error);
  const bool isSound = !error || error == beast_http::error::need_more;
  if (!isSound || !mParser->is_header_done()) {
    return RejectAsNotHttp();
  }
  mBuffer.consume(size);
  return HandleHead(size);
}

bool
UpstreamConnection::HandleHead(std::size_t aBytes)
{
  const auto& message = mParser->get();
  const http::StatusKind kind = http::KindOfStatus(message.result_int());
  if (kind == http::StatusKind::kInvalid ||
      !http::HasKnownTransferEncoding(message)) {
    return RejectAsNotHttp();
  }
  mHeadReported = true;
  if (kind == http::StatusKind::kInterim) {
    mSkipping = true;
    return IsWithin(
      mListener->Guard().CompleteHead(limits::HeadKind::kInterim, aBytes));
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
  if (mClosed || mListener == nullptr) {
    return false;
  }
  return IsWithin(mListener->Guard().CompleteHead(
    mSkipping ? limits::HeadKind::kOther : limits::HeadKind::kOwn, aBytes));
}

// Returns false iff more bytes are needed.
bool
UpstreamConnection::ParseBody()
{
  http::ErrorCode error;
  const std::size_t used = mParser->put(mBuffer.data(), error);
  mBuffer.consume(used);
  if (error && error != beast_http::error::need_more) {
    return RejectAsNotHttp();
  }
  std::string bytes = std::exchange(mParser->get().body(), {});
  const std::size_t bodyBytes = bytes.size();
  if (!mSkipping && bodyBytes > 0) {
    mListener->OnBody(std::move(bytes));
    if (mListener == nullptr || mClosed) {
      return false;
    }
  }
  limits::ResponseGuard& guard = mListener->Guard();
  if ((mSkipping && !IsWithin(guard.RecordSkipped(used))) ||
      !IsWithin(guard.RecordParsed(used, bodyBytes))) {
    return false;
  }
  const bool needsMore = error || used == 0;
  if (needsMore && !mParser->is_done()) {
    const std::string_view rest = TextOf(mBuffer);
    const auto lines = std::count(rest.begin(), rest.end(), '\n');
    IsWithin(guard.CheckFraming(rest.size(), static_cast<std::size_t>(lines)));
  }
  return !needsMore;
}

void
UpstreamConnection::FinishResponse()
{
  if (mSkipping) {
    StartParser();
    return;
  }
  ++mServedRequests;
  if (mBuffer.size() == 0 && mBuffer.capacity() > kMaxIdleBufferBytes) {
    mBuffer.shrink_to_fit();
  }
  mDialer.Path().RecordIdle(mId);
  UpstreamListener* listener = std::exchange(mListener, nullptr);
  listener->OnEnd();
}

} // namespace peridotspool::gateway
