#pragma once

#include "peridotspool/gateway/PromptPart.h"

#include <compare>
#include <cstdint>
#include <string_view>
#include <vector>

namespace peridotspool::gateway {

/** The parts of a prompt, as announced by the caller. */
struct PromptParts
{
  /**
   * Hash of all parts but the last, equal for requests that share them; 0 if
   * there is only one part.
   */
  std::uint64_t mAffinity = 0;
  /** Tokens of all parts but the last. The last part is the request's own. */
  std::uint64_t mSharedTokens = 0;
  std::uint64_t mOwnTokens = 0;
  /**
   * Ordered from the first part to the request's own; holds only the first
   * parts of a prompt with very many.
   */
  std::vector<PromptPart> mParts;

  std::uint64_t Tokens() const { return mSharedTokens + mOwnTokens; }
  auto operator<=>(const PromptParts&) const = default;
};

/**
 * Parses "ID:TOKENS,ID:TOKENS". A part without a valid number counts as 0
 * tokens.
 */
PromptParts
ParsePromptParts(std::string_view aText);

} // namespace peridotspool::gateway
