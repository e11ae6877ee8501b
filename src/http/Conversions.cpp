#include "http/Conversions.h"

#include "peridotspool/http/Uri.h"

#include <boost/beast/core/ostream.hpp>
#include <cctype>
#include <sstream>
#include <sys/socket.h>

namespace peridotspool::http {

namespace {

std::string
LowerCase(beast::string_view aText)
{
  std::string lower;
  lower.reserve(aText.size());
  for (const char character : aText) {
    lower +=
      static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
  }
  return lower;
}

bool
IsControl(char aCharacter)
{
  const auto byte = static_cast<unsigned char>(aCharacter);
  return byte < 0x20 || byte == 0x7f;
}

// A line break in a value would let whoever chose the value add fields or a
// whole second message of its own; one would see answers out of step. A space
// keeps the value readable and the message one message.
std::string
WithoutControls(std::string aValue)
{
  for (char& character : aValue) {
    character = IsControl(character) ? ' ' : character;
  }
  return aValue;
}

void
SetFields(const HeaderFields& aFrom, BeastFields& aTo)
{
  for (const auto& [name, value] : aFrom) {
    aTo.set(WithoutControls(name), WithoutControls(value));
  }
}

template<typename Message>
std::string
ToBytes(const Message& aMessage)
{
  std::ostringstream stream;
  stream << aMessage;
  return std::move(stream).str();
}

bool
IsPlainTarget(const std::string& aTarget)
{
  if (aTarget.empty() || aTarget.front() != '/') {
    return false;
  }
  for (const char character : aTarget) {
    if (IsControl(character) || character == ' ') {
      return false;
    }
  }
  return true;
}

} // namespace

HeaderFields
FieldsOf(const BeastFields& aFields)
{
  HeaderFields fields;
  for (const auto& field : aFields) {
    std::string& value = fields[LowerCase(field.name_string())];
    value += value.empty() ? "" : ", ";
    value += field.value();
  }
  return fields;
}

HttpRequest
FromBeast(const beast_http::request_header<>& aHead)
{
  const std::string target(aHead.target());
  const std::size_t question = target.find('?');
  HttpRequest request;
  request.mMethod = aHead.method_string();
  request.mPath = target.substr(0, question);
  if (question != std::string::npos) {
    request.mQuery = ParseQuery(std::string_view(target).substr(question + 1));
  }
  request.mHeaders = FieldsOf(aHead);
  return request;
}

std::size_t
HeldBytes(const HttpRequest& aRequest)
{
  std::size_t bytes = aRequest.mMethod.capacity() + aRequest.mPath.capacity() +
                      aRequest.mBody.capacity();
  for (const HeaderFields* fields : { &aRequest.mQuery, &aRequest.mHeaders }) {
    for (const auto& [name, value] : *fields) {
      bytes +=
        sizeof(HeaderFields::value_type) + name.capacity() + value.capacity();
    }
  }
  return bytes;
}

std::string
WholeResponse(HttpResponse aResponse, const ResponseFraming& aFraming)
{
  beast_http::response<beast_http::string_body> response;
  response.result(aResponse.mStatus);
  response.version(aFraming.mVersion);
  SetFields(aResponse.mHeaders, response);
  response.body() = std::move(aResponse.mBody);
  response.keep_alive(aFraming.mKeepAlive);
  response.prepare_payload();
  return ToBytes(response);
}

std::string
StreamHead(const HttpResponse& aHead, const ResponseFraming& aFraming)
{
  beast_http::response<beast_http::empty_body> response;
  response.result(aHead.mStatus);
  response.version(aFraming.mVersion);
  SetFields(aHead.mHeaders, response);
  response.erase(beast_http::field::content_length);
  response.keep_alive(aFraming.mKeepAlive);
  response.chunked(aFraming.mVersion >= 11);
  return ToBytes(response.base());
}

std::string
Chunk(const std::string& aBytes)
{
  std::ostringstream stream;
  stream << std::hex << aBytes.size() << "\r\n" << aBytes << "\r\n";
  return std::move(stream).str();
}

std::optional<std::string>
WholeRequest(HttpRequest aRequest, const Address& aPeer)
{
  const auto method = beast_http::string_to_verb(aRequest.mMethod);
  const std::string query = FormatQuery(aRequest.mQuery);
  const std::string target =
    query.empty() ? aRequest.mPath : aRequest.mPath + "?" + query;
  if (method == beast_http::verb::unknown || !IsPlainTarget(target)) {
    return std::nullopt;
  }
  beast_http::request<beast_http::string_body> request;
  request.method(method);
  request.target(target);
  request.version(11);
  SetFields(aRequest.mHeaders, request);
  request.set(beast_http::field::host, ToText(aPeer));
  request.body() = std::move(aRequest.mBody);
  request.prepare_payload();
  return ToBytes(request);
}

bool
IsQuietAndOpen(Tcp::socket& aSocket)
{
  char byte = 0;
  const auto received =
    ::recv(aSocket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace peridotspool::http
