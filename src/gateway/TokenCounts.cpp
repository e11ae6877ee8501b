#include "peridotspool/gateway/TokenCounts.h"

#include "peridotspool/gateway/HeaderRules.h"

#include <algorithm>

namespace peridotspool::gateway {

namespace {

/** No engine holds more; what a caller claims beyond it is not believed. */
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

// Beside other callers' prompts a token took 11 ms on a well loaded engine.
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
