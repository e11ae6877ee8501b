// Parsing of a caller's requests.

#include "gateway/CallerConnection.h"
#include "peridotspool/gateway/HeaderRules.h"

#include <utility>

namespace peridotspool::gateway {

namespace {

namespace beast_http = http::beast_http;

} // namespace

void
CallerConnection::StartParser()
{
  const CallerLimits limits = mOwner.Limits();
  mParser.emplace();
  // Until the head is complete, so that it can be taken alone.
  mParser->eager(false);
  mParser->header_limit(static_cast<std::uint32_t>(limits.mHeaderBytes));
  mParser->body_limit(limits.mBodyBytes);
  mFraming = limits::FramingGuard(limits.mHeaderBytes);
  mRequestBytes = 0;
  mHeadChecked = false;
  mRequestOrIdleSince = mOwner.Now();
}

void
CallerConnection::Parse()
{
  if (!mParser) {
    StartParser();
  }
  while (mBuffer.size() > 0) {
    http::ErrorCode error;
    const std::size_t bodyBytes = mParser->get().body().size();
    const std::size_t used = mParser->put(mBuffer.data(), error);
    mBuffer.consume(used);
    if (error && error != beast_http::error::need_more) {
      RefuseFor(error);
      return;
    }
    if (!CheckParsed(used, mParser->get().body().size() - bodyBytes)) {
      return;
    }
    if (mParser->is_done()) {
      OnParsed();
      return;
    }
    if (error || used == 0) {
      CheckIncomplete();
      return;
    }
  }
}

bool
CallerConnection::CheckParsed(std::size_t aBytes, std::size_t aBodyBytes)
{
  if (!mParser->is_header_done()) {
    return true;
  }
  if (!mHeadChecked && !TakeHead()) {
    return false;
  }
  if (!mFraming.RecordParsed(aBytes, aBodyBytes)) {
    RefuseForBound(431, "the framing of the body is over its bound");
    return false;
  }
  return true;
}

// What is left is a chunk header or trailers, because a body's bytes are taken
// as they come.
void
CallerConnection::CheckIncomplete()
{
  if (mParser->is_header_done() && !mFraming.MayHold(mBuffer.size())) {
    RefuseForBound(431, "a chunk header or the trailers are over their bound");
  }
}

// The fields are taken before the body is parsed, because the parser adds
// trailers to them, and no trailer may stand for a field of the head.
bool
CallerConnection::TakeHead()
{
  mHeadChecked = true;
  if (const std::string fault = FramingFault(); !fault.empty()) {
    Refuse(400, fault);
    return false;
  }
  auto& head = mParser->get().base();
  if (!mParser->is_done() &&
      EqualsIgnoreCase(head[beast_http::field::expect], "100-continue")) {
    Write("HTTP/1.1 100 Continue\r\n\r\n");
  }
  mRequest = { .mMethod = std::string(head.method_string()),
               .mTarget = std::string(head.target()),
               .mFields = {},
               .mBody = {},
               .mKeepAlive =
                 mParser->get().keep_alive() && head.version() == 11,
               .mStreamFraming = head.version() >= 11
                                   ? BodyFraming::kChunked
                                   : BodyFraming::kConnection };
  for (const auto& field : head) {
    mRequest.mFields.emplace_back(field.name_string(), field.value());
  }
  head.clear();
  mRequestBytes = HeldBytes(mRequest);
  mParser->eager(true);
  return true;
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
  mRequest.mBody = std::move(mParser->get().body());
  mParser.reset();
  mRequestBytes = HeldBytes(mRequest);
  // A large request leaves a large buffer.
  if (mBuffer.size() == 0) {
    mBuffer.shrink_to_fit();
  }
  if (!MakeRoomToServe()) {
    return;
  }
  mServing = true;
  mOwner.OnRequest(shared_from_this(), std::exchange(mRequest, {}));
}

// A request that is served can't give way any more, so it has to fit before.
bool
CallerConnection::MakeRoomToServe()
{
  ReportHeld();
  mOwner.EnforceBounds();
  return !mRefused && !mClosed;
}

void
CallerConnection::RefuseFor(http::ErrorCode aError)
{
  if (aError == beast_http::error::body_limit) {
    RefuseForBound(413, "the body is over its bound");
  } else if (aError == beast_http::error::header_limit) {
    RefuseForBound(431, "the header is over its bound");
  } else {
    Refuse(400, aError.message());
  }
}

// The bounds are settings, and newer ones may allow the request.
void
CallerConnection::RefuseForBound(unsigned aStatus, const std::string& aReason)
{
  constexpr unsigned kUnavailable = 503;
  constexpr double kRetryAfterSeconds = 0.5;
  if (mOwner.AreSettingsFresh()) {
    Refuse(aStatus, aReason);
  } else {
    Refuse(kUnavailable, "settings not confirmed", kRetryAfterSeconds);
  }
}

} // namespace peridotspool::gateway
