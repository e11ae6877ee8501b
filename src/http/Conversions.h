#pragma once

#include "http/BeastTypes.h"
#include "peridotspool/base/Address.h"
#include "peridotspool/http/HttpMessage.h"

#include <optional>
#include <string>

namespace peridotspool::http {

using BeastFields = beast_http::fields;

/** How a response is framed on its connection. */
struct ResponseFraming
{
  /** As Beast counts: 11 is HTTP/1.1. */
  unsigned mVersion = 11;
  bool mKeepAlive = true;
};

/** Returns the header fields by lower-case name; repeated ones are joined. */
HeaderFields
FieldsOf(const BeastFields& aFields);

/** Returns the request without its body, with its target split into path and
 * query. */
HttpRequest
FromBeast(const beast_http::request_header<>& aHead);

/** Returns the bytes of memory that a request takes. */
std::size_t
HeldBytes(const HttpRequest& aRequest);

/** Returns the bytes of a whole response. */
std::string
WholeResponse(HttpResponse aResponse, const ResponseFraming& aFraming);

/** Returns the bytes of the head of a response whose body follows in pieces. */
std::string
StreamHead(const HttpResponse& aHead, const ResponseFraming& aFraming);

/** Returns one chunk of the chunked transfer coding. */
std::string
Chunk(const std::string& aBytes);

/** Returns the bytes of a request, or empty if its method or path is bad. */
std::optional<std::string>
WholeRequest(HttpRequest aRequest, const Address& aPeer);

/** Returns true iff nothing was received and the peer has not closed. */
bool
IsQuietAndOpen(Tcp::socket& aSocket);

} // namespace peridotspool::http
