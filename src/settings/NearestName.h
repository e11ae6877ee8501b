#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peridotspool::settings {

/** Returns the known name that is closest to a mistyped one, if any is. */
std::optional<std::string>
NearestName(std::string_view aName, const std::vector<std::string>& aKnown);

/** Returns "; did you mean 'x'?" or, with no close name, "; known here: ...".
 */
std::string
NearestNameHint(std::string_view aName, const std::vector<std::string>& aKnown);

} // namespace peridotspool::settings
