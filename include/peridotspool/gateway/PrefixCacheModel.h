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
class PrefixCacheModel
{
public:
  PrefixCacheModel() = default;
  // Places point into the list.
  PrefixCacheModel(const PrefixCacheModel&) = delete;
  PrefixCacheModel& operator=(const PrefixCacheModel&) = delete;
  PrefixCacheModel(PrefixCacheModel&&) = default;
  PrefixCacheModel& operator=(PrefixCacheModel&&) = default;
  ~PrefixCacheModel() = default;

  /** A prompt of these parts was sent; aMaxTokens: tokens that the engine
   * keeps. */
  void RecordUse(const std::vector<PromptPart>& aParts,
                 std::uint64_t aMaxTokens);
  /** Tokens of the prompt, from its begin, that need not be read again. */
  std::uint64_t CachedTokens(const std::vector<PromptPart>& aParts) const;

  std::uint64_t Tokens() const { return mTokens; }

private:
  /** The part used last comes first. */
  std::list<PromptPart> mParts;
  std::unordered_map<std::uint64_t, std::list<PromptPart>::iterator> mPositions;
  std::uint64_t mTokens = 0;
};

} // namespace peridotspool::gateway
