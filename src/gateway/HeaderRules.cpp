#include "peridotspool/gateway/HeaderRules.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

#include <spdlog/fmt/fmt.h>

namespace peridotspool::gateway {

namespace {

constexpr std::array<std::string_view, 9> kHopByHop{
  "connection",         "keep-alive", "proxy-connection",
  "proxy-authenticate", "te",         "trailer",
  "transfer-encoding",  "upgrade",    "proxy-authorization",
};

std::string_view
Trimmed(std::string_view aText)
{
  while (!aText.empty() && (aText.front() == ' ' || aText.front() == '\t')) {
    aText.remove_prefix(1);
  }
  while (!aText.empty() && (aText.back() == ' ' || aText.back() == '\t')) {
    aText.remove_suffix(1);
  }
  return aText;
}

void
AppendField(std::string& aText, std::string_view aName, std::string_view aValue)
{
  aText.append(aName).append(": ").append(aValue).append("\r\n");
}

/** Returns true iff the gateway sets or removes the field in a request to an
 * upstream. */
bool
IsSetByGateway(std::string_view aName, const HeaderNames& aNames)
{
  const std::array<std::string_view, 9> ours{
    "content-length",  "authorization",
    "expect",          aNames.mDeadline,
    aNames.mCustomer,  aNames.mExpectUpstream,
    aNames.mPriority,  std::string_view("accept-encoding"),
    aNames.mFetchFrom,
  };
  const auto same = [&](std::string_view aOne) {
    return EqualsIgnoreCase(aOne, aName);
  };
  return std::any_of(ours.begin(), ours.end(), same) ||
         std::any_of(aNames.mReserved.begin(), aNames.mReserved.end(), same);
}

const char*
StatusText(unsigned aStatus)
{
  switch (aStatus) {
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 404:
      return "Not Found";
    case 408:
      return "Request Timeout";
    case 413:
      return "Content Too Large";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Answer";
  }
}

} // namespace

bool
EqualsIgnoreCase(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         std::equal(aLeft.begin(),
                    aLeft.end(),
                    aRight.begin(),
                    [](unsigned char aOne, unsigned char aOther) {
                      return std::tolower(aOne) == std::tolower(aOther);
                    });
}

std::string_view
FieldOf(const FieldList& aFields, std::string_view aName)
{
  for (const auto& [name, value] : aFields) {
    if (EqualsIgnoreCase(name, aName)) {
      return value;
    }
  }
  return {};
}

std::vector<std::string_view>
FieldsOf(const FieldList& aFields, std::string_view aName)
{
  std::vector<std::string_view> values;
  for (const auto& [name, value] : aFields) {
    if (EqualsIgnoreCase(name, aName)) {
      values.push_back(value);
    }
  }
  return values;
}

std::size_t
HeldBytes(const CallerRequest& aRequest)
{
  std::size_t bytes =
    aRequest.mMethod.capacity() + aRequest.mTarget.capacity() +
    aRequest.mBody.capacity() +
    aRequest.mFields.capacity() * sizeof(FieldList::value_type);
  for (const auto& [name, value] : aRequest.mFields) {
    bytes += name.capacity() + value.capacity();
  }
  return bytes;
}

bool
IsHopByHop(std::string_view aName, std::string_view aConnection)
{
  if (std::any_of(kHopByHop.begin(), kHopByHop.end(), [&](auto aOne) {
        return EqualsIgnoreCase(aOne, aName);
      })) {
    return true;
  }
  while (!aConnection.empty()) {
    const std::size_t comma = aConnection.find(',');
    if (EqualsIgnoreCase(Trimmed(aConnection.substr(0, comma)), aName)) {
      return true;
    }
    aConnection = comma == std::string_view::npos
                    ? std::string_view()
                    : aConnection.substr(comma + 1);
  }
  return false;
}

std::string
WriteUpstreamHead(const CallerRequest& aRequest,
                  const HeaderNames& aNames,
                  const UpstreamRequestFields& aTerms)
{
  std::string text;
  text.reserve(1024);
  text.append(aRequest.mMethod).append(" ").append(aRequest.mTarget);
  text.append(" HTTP/1.1\r\n");
  const std::string_view connection = FieldOf(aRequest.mFields, "connection");
  for (const auto& [name, value] : aRequest.mFields) {
    const bool replaced =
      !aTerms.mLastEvent.empty() && EqualsIgnoreCase(name, aNames.mLastEvent);
    if (!replaced && !IsHopByHop(name, connection) &&
        !IsSetByGateway(name, aNames)) {
      AppendField(text, name, value);
    }
  }
  AppendField(text, aNames.mDeadline, std::to_string(aTerms.mDeadlineMs));
  AppendField(text, aNames.mExpectUpstream, aTerms.mUpstream);
  if (!aTerms.mCustomer.empty()) {
    AppendField(text, aNames.mCustomer, aTerms.mCustomer);
  }
  if (aTerms.mPriority) {
    AppendField(text, aNames.mPriority, std::to_string(*aTerms.mPriority));
  }
  if (aTerms.mFetchFrom && !aNames.mFetchFrom.empty()) {
    AppendField(text, aNames.mFetchFrom, ToText(*aTerms.mFetchFrom));
  }
  if (!aTerms.mLastEvent.empty()) {
    AppendField(text, aNames.mLastEvent, aTerms.mLastEvent);
  }
  const bool bodiless =
    aRequest.mBody.empty() &&
    (aRequest.mMethod == "GET" || aRequest.mMethod == "HEAD" ||
     aRequest.mMethod == "DELETE");
  if (!bodiless) {
    AppendField(text, "Content-Length", std::to_string(aRequest.mBody.size()));
  }
  return text.append("\r\n");
}

std::string
WriteResponseHead(const ResponseHead& aHead,
                  BodyFraming aFraming,
                  std::uint64_t aLength,
                  bool aKeepAlive)
{
  std::string text =
    "HTTP/1.1 " + std::to_string(aHead.mStatus) + " " + aHead.mReason + "\r\n";
  const std::string_view connection = FieldOf(aHead.mFields, "connection");
  for (const auto& [name, value] : aHead.mFields) {
    if (!IsHopByHop(name, connection) &&
        !EqualsIgnoreCase(name, "content-length")) {
      AppendField(text, name, value);
    }
  }
  if (aFraming == BodyFraming::kLength) {
    AppendField(text, "Content-Length", std::to_string(aLength));
  } else if (aFraming == BodyFraming::kChunked) {
    AppendField(text, "Transfer-Encoding", "chunked");
  }
  if (!aKeepAlive) {
    AppendField(text, "Connection", "close");
  }
  return text.append("\r\n");
}

std::string
WriteLocalResponse(const LocalResponse& aAnswer,
                   std::string_view aRequestIdName,
                   std::string_view aRequestId,
                   bool aKeepAlive)
{
  const std::string body = R"({"reason":")" + aAnswer.mReason + "\"}";
  std::string text = "HTTP/1.1 " + std::to_string(aAnswer.mStatus) + " " +
                     StatusText(aAnswer.mStatus) +
                     "\r\nContent-Type: application/json\r\n";
  if (!aRequestId.empty()) {
    AppendField(text, aRequestIdName, aRequestId);
  }
  if (aAnswer.mRetryAfter > 0.0) {
    AppendField(
      text, "Retry-After", fmt::format("{:.2f}", aAnswer.mRetryAfter));
  }
  AppendField(text, "Content-Length", std::to_string(body.size()));
  if (!aKeepAlive) {
    AppendField(text, "Connection", "close");
  }
  return text.append("\r\n").append(body);
}

std::string_view
BearerToken(std::string_view aAuthorization)
{
  constexpr std::string_view kScheme = "bearer ";
  if (aAuthorization.size() <= kScheme.size() ||
      !EqualsIgnoreCase(aAuthorization.substr(0, kScheme.size()), kScheme)) {
    return {};
  }
  return Trimmed(aAuthorization.substr(kScheme.size()));
}

std::optional<std::uint64_t>
ReadNumber(std::string_view aText)
{
  std::uint64_t number = 0;
  const char* const end = aText.data() + aText.size();
  const auto [rest, fault] = std::from_chars(aText.data(), end, number);
  if (aText.empty() || fault != std::errc{} || rest != end) {
    return std::nullopt;
  }
  return number;
}

} // namespace peridotspool::gateway
