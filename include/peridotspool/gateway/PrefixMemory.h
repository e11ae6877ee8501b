#pragma once

#include "peridotspool/gateway/PromptPart.h"

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace peridotspool::gateway {

/**
 * What one engine still keeps of the prompts that it was sent: the parts used
 * last, as many as its memory holds. A belief, from what was sent alone.
 *
 * A pure value. Not thread-safe.
 */
class PrefixMemory
{
public:
  PrefixMemory() = default;
  // Places point into the list.
  PrefixMemory(const PrefixMemory&) = delete;
  PrefixMemory& operator=(const PrefixMemory&) = delete;
  PrefixMemory(PrefixMemory&&) = default;
  PrefixMemory& operator=(PrefixMemory&&) = default;
  ~PrefixMemory() = default;

  /** A prompt of these parts was sent; aMost: tokens that the engine keeps. */
  void Use(const std::vector<PromptPart>& aParts, std::uint64_t aMost);
  /** Tokens of the prompt, from its begin, that need not be read again. */
  std::uint64_t Kept(const std::vector<PromptPart>& aParts) const;

  std::uint64_t Tokens() const { return mTokens; }

private:
  /** The part used last comes first. */
  std::list<PromptPart> mParts;
  std::unordered_map<std::uint64_t, std::list<PromptPart>::iterator> mPlaces;
  std::uint64_t mTokens = 0;
};

} // namespace peridotspool::gateway
