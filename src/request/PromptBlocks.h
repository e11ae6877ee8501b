#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace peridotspool::request {

/**
 * Returns the hashes of a request's leading prompt blocks, the longest prefix
 * last, as engines report them in their cache events (docs/INTERFACES.md): the
 * k-th is the FNV-1a hash of the first k * 64 bytes. Empty without a prompt.
 */
std::vector<std::uint64_t>
PromptBlocks(const std::string& aBody);

} // namespace peridotspool::request
