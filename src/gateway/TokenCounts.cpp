#include "peridotspool/gateway/TokenCounts.h"

#include "peridotspool/gateway/HeaderRules.h"

#include <algorithm>

namespace peridotspool::gateway {

namespace {

/** No engine holds more; what a caller claims beyond it is not believed. */
constexpr std::uint64_t kMostClaimed = 10000000;

} // namespace

std::optional<TokenCounts>
ReadTokenCounts(std::string_view aText)
{
  const std::size_t comma = aText.find(',');
  if (comma == std::string_view::npos) {
    return std::nullopt;
  }
  const auto prompt = ReadNumber(aText.substr(0, comma));
  const auto answer = ReadNumber(aText.substr(comma + 1));
  if (!prompt || !answer) {
    return std::nullopt;
  }
  return TokenCounts{ .mPrompt = std::min(*prompt, kMostClaimed),
                      .mAnswer = std::min(*answer, kMostClaimed) };
}

// Beside other callers' prompts a token took 11 ms on a well loaded engine.
Duration
LongestTime(const TokenCounts& aCounts)
{
  constexpr Duration kToFirstToken = std::chrono::milliseconds(1500);
  constexpr Duration kPerToken = std::chrono::milliseconds(20);
  constexpr std::uint64_t kMostTokens = 1000000;
  return kToFirstToken + kPerToken * static_cast<Duration::rep>(
                                       std::min(aCounts.mAnswer, kMostTokens));
}

} // namespace peridotspool::gateway
