#pragma once

#include "peridotspool/base/Time.h"

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
  std::uint64_t mMaxOutput = 0;

  auto operator<=>(const TokenCounts&) const = default;
};

/** Reads "PROMPT,ANSWER"; empty for anything else. */
std::optional<TokenCounts>
ParseTokenCounts(std::string_view aText);

/** Returns how long a generation may take on an engine that is well loaded. */
Duration
MaxGenerationTime(const TokenCounts& aCounts);

} // namespace peridotspool::gateway
