#pragma once

#include "peridotspool/gateway/PromptPart.h"

#include <compare>
#include <cstdint>
#include <string_view>
#include <vector>

namespace peridotspool::gateway {

/** A prompt by the parts that it is put together from. */
struct PromptParts
{
  /** The same for requests that share all parts but the last; 0 for none. */
  std::uint64_t mAffinity = 0;
  /** Tokens of all parts but the last, which is the request's own. */
  std::uint64_t mSharedTokens = 0;
  std::uint64_t mOwnTokens = 0;
  /** From the first to the request's own; the first few of very many. */
  std::vector<PromptPart> mParts;

  std::uint64_t Tokens() const { return mSharedTokens + mOwnTokens; }
  auto operator<=>(const PromptParts&) const = default;
};

/** Reads "ID:TOKENS,ID:TOKENS"; a part without a number counts as empty. */
PromptParts
ParsePromptParts(std::string_view aText);

} // namespace peridotspool::gateway
