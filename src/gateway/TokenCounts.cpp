#include "peridotspool/gateway/TokenCounts.h"

#include "peridotspool/gateway/HeaderRules.h"

#include <algorithm>

namespace peridotspool::gateway {

namespace {

/** No engine can hold more tokens; larger counts are clamped. */
constexpr std::uint64_t kMaxTokenCount = 10000000;

} // namespace

std::optional<TokenCounts>
ParseTokenCounts(std::string_view aText)
{
  const std::size_t comma = aText.find(',');
  if (comma == std::string_view::npos) {
    return std::nullopt;
  }
  const auto prompt = ReadNumber(aText.substr(0, comma));
  const auto maxOutput = ReadNumber(aText.substr(comma + 1));
  if (!prompt || !maxOutput) {
    return std::nullopt;
  }
  return TokenCounts{ .mPrompt = std::min(*prompt, kMaxTokenCount),
                      .mMaxOutput = std::min(*maxOutput, kMaxTokenCount) };
}

// On a well loaded engine that also processes other callers' prompts, one token
// takes 11 ms.
Duration
MaxGenerationTime(const TokenCounts& aCounts)
{
  constexpr Duration kTimeToFirstToken = std::chrono::milliseconds(1500);
  constexpr Duration kTimePerToken = std::chrono::milliseconds(20);
  constexpr std::uint64_t kMaxOutputTokens = 1000000;
  return kTimeToFirstToken +
         kTimePerToken * static_cast<Duration::rep>(
                           std::min(aCounts.mMaxOutput, kMaxOutputTokens));
}

} // namespace peridotspool::gateway
