#include "peridotspool/streams/StreamOrigin.h"

#include <cstdio>

// Declares the hash's state as a complete type.
#define XXH_STATIC_LINKING_ONLY
#include <xxhash.h>

namespace peridotspool::streams {

namespace {

constexpr std::size_t kKeyDigits = 32;

} // namespace

// The length before each part keeps customer "a" with request "bc" apart from
// customer "ab" with request "c".
StreamKey
StreamKeyOf(const CustomerName& aCustomer, std::string_view aRequestId)
{
  XXH3_state_t state;
  XXH3_128bits_reset(&state);
  for (const std::string_view part :
       { std::string_view(aCustomer.Value()), aRequestId }) {
    const std::uint64_t size = part.size();
    XXH3_128bits_update(&state, &size, sizeof size);
    XXH3_128bits_update(&state, part.data(), part.size());
  }
  const XXH128_hash_t hash = XXH3_128bits_digest(&state);
  return { .mHigh = hash.high64, .mLow = hash.low64 };
}

std::string
ToText(const StreamKey& aKey)
{
  char digits[kKeyDigits + 1];
  std::snprintf(digits,
                sizeof digits,
                "%016llx%016llx",
                static_cast<unsigned long long>(aKey.mHigh),
                static_cast<unsigned long long>(aKey.mLow));
  return digits;
}

} // namespace peridotspool::streams
