#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace peridotspool::request {

/**
 * Returns the hashes of a request's leading prompt blocks, the longest prefix
 * last, as engines name them in their cache events (docs/INTERFACES.md): the
 * FNV-1a hash of the first k times 64 bytes. Empty if there is no prompt.
 */
std::vector<std::uint64_t>
PromptBlocks(const std::string& aBody);

} // namespace peridotspool::request
