#include "peridotspool/base/ContentId.h"

#include <charconv>
#include <cstdio>

// The hash's running state is a plain value then, on the stack.
#define XXH_STATIC_LINKING_ONLY
#include <xxhash.h>

namespace peridotspool {

namespace {

constexpr std::size_t kDigitsOfHalf = 16;

std::optional<std::uint64_t>
ReadHalf(std::string_view aDigits)
{
  std::uint64_t half = 0;
  const char* const end = aDigits.data() + aDigits.size();
  const auto [rest, fault] = std::from_chars(aDigits.data(), end, half, 16);
  return fault == std::errc{} && rest == end ? std::optional(half)
                                             : std::nullopt;
}

} // namespace

// Each part goes in with its length before it: "/a" with "bc" is not "/ab"
// with "c".
ContentId
ContentOf(const RequestContent& aContent)
{
  XXH3_state_t state;
  XXH3_128bits_reset(&state);
  const std::string_view customer = aContent.mCustomer.Value();
  for (const std::string_view part : { customer,
                                       aContent.mMethod,
                                       aContent.mHost,
                                       aContent.mTarget,
                                       aContent.mBody }) {
    const std::uint64_t size = part.size();
    XXH3_128bits_update(&state, &size, sizeof size);
    XXH3_128bits_update(&state, part.data(), part.size());
  }
  const XXH128_hash_t hash = XXH3_128bits_digest(&state);
  return { .mHigh = hash.high64, .mLow = hash.low64 };
}

std::string
ToText(const ContentId& aContent)
{
  char digits[2 * kDigitsOfHalf + 1];
  std::snprintf(digits,
                sizeof digits,
                "%016llx%016llx",
                static_cast<unsigned long long>(aContent.mHigh),
                static_cast<unsigned long long>(aContent.mLow));
  return digits;
}

std::optional<ContentId>
ReadContentId(std::string_view aText)
{
  if (aText.size() != 2 * kDigitsOfHalf) {
    return std::nullopt;
  }
  const auto high = ReadHalf(aText.substr(0, kDigitsOfHalf));
  const auto low = ReadHalf(aText.substr(kDigitsOfHalf));
  return high && low ? std::optional(ContentId{ *high, *low }) : std::nullopt;
}

} // namespace peridotspool
