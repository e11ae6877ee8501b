#include "peridotspool/gateway/PromptParts.h"

#include "peridotspool/gateway/HeaderRules.h"

#include <xxhash.h>

#include <algorithm>

namespace peridotspool::gateway {

namespace {

/** No engine holds more; what a caller claims beyond it is not believed. */
constexpr std::uint64_t kMostTokens = 10000000;

std::uint64_t
TokensOf(std::string_view aPart)
{
  const std::size_t colon = aPart.rfind(':');
  const auto number = colon == std::string_view::npos
                        ? std::nullopt
                        : ReadNumber(aPart.substr(colon + 1));
  return number ? std::min<std::uint64_t>(*number, kMostTokens) : 0;
}

} // namespace

PromptParts
ReadPromptParts(std::string_view aText)
{
  PromptParts parts;
  const std::size_t last = aText.rfind(',');
  if (last == std::string_view::npos) {
    parts.mOwn = TokensOf(aText);
    return parts;
  }
  parts.mAffinity = XXH3_64bits(aText.data(), last) | 1;
  parts.mOwn = TokensOf(aText.substr(last + 1));
  std::string_view shared = aText.substr(0, last);
  while (!shared.empty()) {
    const std::size_t comma = std::min(shared.find(','), shared.size());
    parts.mShared += TokensOf(shared.substr(0, comma));
    shared.remove_prefix(std::min(comma + 1, shared.size()));
  }
  return parts;
}

} // namespace peridotspool::gateway
