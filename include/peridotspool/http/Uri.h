#pragma once

#include <map>
#include <string>
#include <string_view>

namespace peridotspool::http {

/** Returns the text with %XX replaced; a malformed one stays as it is. */
std::string
PercentDecode(std::string_view aText);

/** Returns the text with all but unreserved characters as %XX. */
std::string
PercentEncode(std::string_view aText);

/** Returns the parameters of "a=1&b=2", decoded; the last of a name wins. */
std::map<std::string, std::string>
ParseQuery(std::string_view aQuery);

/** Returns "a=1&b=2" for the parameters, encoded. */
std::string
FormatQuery(const std::map<std::string, std::string>& aParameters);

} // namespace peridotspool::http
