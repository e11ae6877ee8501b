#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string_view>

namespace peridotspool::gateway {

/** How large a generation is, as its caller says. */
struct TokenCounts
{
  std::uint64_t mPrompt = 0;
  /** The most that may be generated. */
  std::uint64_t mAnswer = 0;

  auto operator<=>(const TokenCounts&) const = default;
};

/** Reads "PROMPT,ANSWER"; empty for anything else. */
std::optional<TokenCounts>
ReadTokenCounts(std::string_view aText);

} // namespace peridotspool::gateway
