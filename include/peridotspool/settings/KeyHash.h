#pragma once

#include <string>
#include <string_view>

namespace peridotspool::settings {

/** Returns the SHA-256 of an API key in lower-case hexadecimal. */
std::string
KeyHash(std::string_view aApiKey);

} // namespace peridotspool::settings
