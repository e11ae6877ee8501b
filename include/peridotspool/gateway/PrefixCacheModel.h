#pragma once

#include "peridotspool/gateway/PromptPart.h"

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace peridotspool::gateway {

/**
 * Model of one engine's prefix cache: the least recently used parts are evicted
 * when the capacity is exceeded. It is an estimate, derived only from the
 * prompts that were sent to the engine.
 *
 * Not thread-safe.
 */
class PrefixCacheModel
{
public:
  PrefixCacheModel() = default;
  // mPositions holds iterators into mParts, which a copy would leave pointing
  // into the original list.
  PrefixCacheModel(const PrefixCacheModel&) = delete;
  PrefixCacheModel& operator=(const PrefixCacheModel&) = delete;
  PrefixCacheModel(PrefixCacheModel&&) = default;
  PrefixCacheModel& operator=(PrefixCacheModel&&) = default;
  ~PrefixCacheModel() = default;

  /**
   * Records that a prompt of these parts was sent. aMaxTokens is the capacity
   * of the cache.
   */
  void RecordUse(const std::vector<PromptPart>& aParts,
                 std::uint64_t aMaxTokens);
  /**
   * Returns the length in tokens of the longest cached prefix of the prompt.
   */
  std::uint64_t CachedTokens(const std::vector<PromptPart>& aParts) const;

  std::uint64_t Tokens() const { return mTokens; }

private:
  /** Most recently used first. */
  std::list<PromptPart> mParts;
  std::unordered_map<std::uint64_t, std::list<PromptPart>::iterator> mPositions;
  std::uint64_t mTokens = 0;
};

} // namespace peridotspool::gateway
