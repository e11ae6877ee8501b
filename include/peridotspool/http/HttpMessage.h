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
  std::string mMethod;
  /** Path without the query. */
  std::string mPath;
  /** Query parameters, percent-decoded. */
  std::map<std::string, std::string> mQuery;
  HeaderFields mHeaders;
  std::string mBody;
};

/** A whole response. */
struct HttpResponse
{
  std::uint32_t mStatus = 200;
  HeaderFields mHeaders;
  std::string mBody;
};

} // namespace peridotspool::http
