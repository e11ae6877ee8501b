#pragma once

#include "peridotspool/base/Time.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string_view>

namespace peridotspool::gateway {

/** The size of a generation, as declared by its caller. */
struct TokenCounts
{
  std::uint64_t mPrompt = 0;
  /** The maximum number of generated tokens. */
  std::uint64_t mMaxOutput = 0;

  auto operator<=>(const TokenCounts&) const = default;
};

/** Parses "PROMPT,ANSWER"; returns empty for anything else. */
std::optional<TokenCounts>
ParseTokenCounts(std::string_view aText);

/** Returns how long a generation may take on a fully loaded engine. */
Duration
MaxGenerationTime(const TokenCounts& aCounts);

} // namespace peridotspool::gateway
