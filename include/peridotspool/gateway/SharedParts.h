#pragma once

#include "peridotspool/base/PromptPartId.h"

#include <string_view>
#include <vector>

namespace peridotspool::gateway {

/**
 * Returns the ids of all parts of a prompt but the last, which is the request's
 * own, from "ID:TOKENS,ID:TOKENS".
 *
 * Ids are hexadecimal numbers, so that leading zeros and the case of digits
 * don't matter; any other text is an id by its hash. Entries that are empty are
 * skipped, and so are all after the first two thousand.
 */
std::vector<PromptPartId>
ParseSharedParts(std::string_view aText);

} // namespace peridotspool::gateway
