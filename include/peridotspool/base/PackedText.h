#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace peridotspool {

/** Returns a compressed form of a text, for the log and the network. */
std::string
PackText(std::string_view aText);

/**
 * Returns the text of a packed form; a text that isn't packed is returned as
 * it is. Empty iff the packed form is damaged.
 */
std::optional<std::string>
UnpackText(std::string_view aPacked);

} // namespace peridotspool
