#include "peridotspool/http/RetryAfterField.h"

#include "peridotspool/limits/RetryAfter.h"

#include <optional>
#include <string_view>

namespace peridotspool::http {

namespace {

std::string_view
FieldOf(const HeaderFields& aHeaders, const char* aName)
{
  const auto field = aHeaders.find(aName);
  return field == aHeaders.end() ? std::string_view() : field->second;
}

} // namespace

Duration
RetryAfterOf(const HeaderFields& aHeaders)
{
  const std::string_view value = FieldOf(aHeaders, "retry-after");
  return value.empty() ? Duration(0)
                       : limits::ParseRetryAfter(
                           { value }, FieldOf(aHeaders, "date"), std::nullopt)
                           .mWait;
}

} // namespace peridotspool::http
