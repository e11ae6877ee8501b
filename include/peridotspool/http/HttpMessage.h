#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace peridotspool::http {

/** Header fields by lower-case name. */
using HeaderFields = std::map<std::string, std::string>;

/** A request as received or to be sent, whole. */
struct HttpRequest
{
  std::string method;
  /** Path without the query. */
  std::string path;
  /** Query parameters, percent-decoded. */
  std::map<std::string, std::string> query;
  HeaderFields headers;
  std::string body;
};

/** A whole response. */
struct HttpResponse
{
  std::uint32_t status = 200;
  HeaderFields headers;
  std::string body;
};

} // namespace peridotspool::http
