#include "http/JsonFields.h"

namespace peridotspool::http {

namespace json = boost::json;

namespace {

constexpr std::size_t kMaxDepth = 32;

} // namespace

std::optional<json::value>
ParseJson(std::string_view aText)
{
  json::parse_options options;
  options.max_depth = kMaxDepth;
  json::error_code error;
  json::value value = json::parse(json::string_view(aText.data(), aText.size()),
                                  error,
                                  json::storage_ptr(),
                                  options);
  if (error) {
    return std::nullopt;
  }
  return value;
}

std::optional<std::string>
TextField(const json::object& aFields, std::string_view aName)
{
  const json::value* value =
    aFields.if_contains(json::string_view(aName.data(), aName.size()));
  if (value == nullptr || !value->is_string()) {
    return std::nullopt;
  }
  return std::string(value->get_string());
}

std::optional<std::int64_t>
IntegerField(const json::object& aFields, std::string_view aName)
{
  const json::value* value =
    aFields.if_contains(json::string_view(aName.data(), aName.size()));
  if (value == nullptr) {
    return std::nullopt;
  }
  json::error_code error;
  const auto number = value->to_number<std::int64_t>(error);
  return error ? std::nullopt : std::optional(number);
}

std::optional<std::uint64_t>
UnsignedField(const json::object& aFields, std::string_view aName)
{
  const auto number = IntegerField(aFields, aName);
  if (!number || *number < 0) {
    return std::nullopt;
  }
  return static_cast<std::uint64_t>(*number);
}

std::optional<bool>
BoolField(const json::object& aFields, std::string_view aName)
{
  const json::value* value =
    aFields.if_contains(json::string_view(aName.data(), aName.size()));
  if (value == nullptr || !value->is_bool()) {
    return std::nullopt;
  }
  return value->get_bool();
}

} // namespace peridotspool::http
