#include "peridotspool/base/ContentId.h"

#include "peridotspool/base/PartsHash.h"

#include <charconv>
#include <cstdio>

namespace peridotspool {

namespace {

constexpr std::size_t kDigitsOfHalf = 16;
/** The upper half of ids that stand for parts of prompts. */
constexpr std::uint64_t kPartTag = 0x70726f6d70742d70;

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

ContentId
ContentOf(const RequestContent& aContent)
{
  const PartsHash hash = HashParts({ aContent.mCustomer.Value(),
                                     aContent.mMethod,
                                     aContent.mHost,
                                     aContent.mTarget,
                                     aContent.mBody });
  return { .mHigh = hash.mHigh, .mLow = hash.mLow };
}

ContentId
ContentOf(PromptPartId aPart)
{
  return { .mHigh = kPartTag, .mLow = aPart.Value() };
}

std::optional<PromptPartId>
PartOf(const ContentId& aContent)
{
  return aContent.mHigh == kPartTag ? std::optional(PromptPartId(aContent.mLow))
                                    : std::nullopt;
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
