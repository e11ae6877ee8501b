#pragma once

#include <cstdint>
#include <initializer_list>
#include <string_view>

namespace peridotspool {

/** A hash of 128 bits. */
struct PartsHash
{
  std::uint64_t mHigh = 0;
  std::uint64_t mLow = 0;
};

/** Returns the hash of a list of texts; lists that differ in where one text
 * ends and the next begins have different hashes. */
PartsHash
HashParts(std::initializer_list<std::string_view> aParts);

} // namespace peridotspool
