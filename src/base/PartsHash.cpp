#include "peridotspool/base/PartsHash.h"

// The hash's running state is a plain value then, on the stack.
#define XXH_STATIC_LINKING_ONLY
#include <xxhash.h>

namespace peridotspool {

// Each part goes in with its length before it: "/a" with "bc" is not "/ab"
// with "c".
PartsHash
HashParts(std::initializer_list<std::string_view> aParts)
{
  XXH3_state_t state;
  XXH3_128bits_reset(&state);
  for (const std::string_view part : aParts) {
    const std::uint64_t size = part.size();
    XXH3_128bits_update(&state, &size, sizeof size);
    XXH3_128bits_update(&state, part.data(), part.size());
  }
  const XXH128_hash_t hash = XXH3_128bits_digest(&state);
  return { .mHigh = hash.high64, .mLow = hash.low64 };
}

} // namespace peridotspool
