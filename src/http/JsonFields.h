#pragma once

#include <boost/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace peridotspool::http {

/** Returns the value, or empty for text that is no JSON or nests too deep. */
std::optional<boost::json::value>
ParseJson(std::string_view aText);

/** The fields below are empty where absent or of another type. */
std::optional<std::string>
TextField(const boost::json::object& aFields, std::string_view aName);
std::optional<std::int64_t>
IntegerField(const boost::json::object& aFields, std::string_view aName);
std::optional<std::uint64_t>
UnsignedField(const boost::json::object& aFields, std::string_view aName);
std::optional<bool>
BoolField(const boost::json::object& aFields, std::string_view aName);

} // namespace peridotspool::http
