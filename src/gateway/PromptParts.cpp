#include "peridotspool/gateway/PromptParts.h"

#include "peridotspool/gateway/HeaderRules.h"

#include <xxhash.h>

#include <algorithm>

namespace peridotspool::gateway {

namespace {

/**
 * More than any engine holds; larger values announced by callers are clamped.
 */
constexpr std::uint64_t kMaxTokens = 10000000;
/**
 * Parts that are tracked individually; the tokens of further parts count as
 * never cached.
 */
constexpr std::size_t kMaxParts = 16;

std::uint64_t
TokensOf(std::string_view aPart)
{
  const std::size_t colon = aPart.rfind(':');
  const auto number = colon == std::string_view::npos
                        ? std::nullopt
                        : ReadNumber(aPart.substr(colon + 1));
  return number ? std::min<std::uint64_t>(*number, kMaxTokens) : 0;
}

} // namespace

PromptParts
ParsePromptParts(std::string_view aText)
{
  PromptParts parts;
  std::size_t begin = 0;
  while (begin < aText.size()) {
    const std::size_t end = std::min(aText.find(',', begin), aText.size());
    const std::uint64_t tokens = TokensOf(aText.substr(begin, end - begin));
    if (parts.mParts.size() < kMaxParts) {
      parts.mParts.push_back({ .mId = XXH3_64bits(aText.data(), end) | 1,
                               .mTokens = static_cast<std::uint32_t>(tokens) });
    }
    parts.mSharedTokens += parts.mOwnTokens;
    parts.mOwnTokens = tokens;
    begin = end + 1;
  }
  const std::size_t last = aText.rfind(',');
  if (last != std::string_view::npos) {
    parts.mAffinity = XXH3_64bits(aText.data(), last) | 1;
  }
  return parts;
}

} // namespace peridotspool::gateway
