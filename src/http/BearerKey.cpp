#include "peridotspool/http/BearerKey.h"

namespace peridotspool::http {

std::optional<std::string>
BearerKey(const HttpRequest& aRequest)
{
  constexpr std::string_view kScheme = "Bearer ";
  const auto field = aRequest.mHeaders.find("authorization");
  if (field == aRequest.mHeaders.end() ||
      field->second.compare(0, kScheme.size(), kScheme) != 0) {
    return std::nullopt;
  }
  return field->second.substr(kScheme.size());
}

} // namespace peridotspool::http
