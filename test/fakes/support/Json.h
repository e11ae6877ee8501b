#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace peridotspool::fakes {

namespace json = boost::json;

/** Returns the object in the text, or empty if it holds none. */
inline std::optional<json::object>
ParseObject(std::string_view aText)
{
  boost::system::error_code error;
  json::value value = json::parse(aText, error);
  if (error || !value.is_object()) {
    return std::nullopt;
  }
  return std::move(value.as_object());
}

inline std::string
TextOf(const json::object& aObject, std::string_view aName)
{
  const json::value* value = aObject.if_contains(aName);
  return value != nullptr && value->is_string()
           ? std::string(value->as_string())
           : std::string();
}

inline std::int64_t
NumberOf(const json::object& aObject,
         std::string_view aName,
         std::int64_t aDefault = 0)
{
  const json::value* value = aObject.if_contains(aName);
  if (value == nullptr || !value->is_number()) {
    return aDefault;
  }
  boost::system::error_code error;
  const auto number = value->to_number<std::int64_t>(error);
  return error ? aDefault : number;
}

} // namespace peridotspool::fakes
