#pragma once

#include "fakes/support/Tokens.h"

#include <algorithm>
#include <deque>
#include <list>
#include <unordered_map>
#include <vector>

namespace peridotspool::fakes {

/** One change of an engine's cache, as published late and with gaps. */
struct CacheEvent
{
  std::uint64_t mSequence = 0;
  bool mStored = true;
  std::uint64_t mBlock = 0;
  std::int64_t mAtMs = 0;
};

/** Prompt prefixes in a limited memory, the least recently used out first. */
class PrefixCache
{
public:
  static constexpr std::size_t kBlockBytes = 64;
  static constexpr std::uint64_t kTokensPerBlock = 16;

  explicit PrefixCache(std::size_t aMostBlocks)
    : mMostBlocks(aMostBlocks)
  {
  }

  /** Returns the hashes of the prompt's prefixes of whole blocks. */
  static std::vector<std::uint64_t> BlocksOf(std::string_view aPrompt)
  {
    std::vector<std::uint64_t> blocks;
    for (std::size_t end = kBlockBytes; end <= aPrompt.size();
         end += kBlockBytes) {
      blocks.push_back(HashOf(aPrompt.substr(0, end)));
    }
    return blocks;
  }

  /** Returns how many tokens were cached, and caches the whole prompt. */
  std::uint64_t Use(std::string_view aPrompt, std::int64_t aNowMs)
  {
    std::uint64_t cached = 0;
    bool unbroken = true;
    for (const std::uint64_t block : BlocksOf(aPrompt)) {
      unbroken = unbroken && mPlaces.contains(block);
      cached += unbroken ? kTokensPerBlock : 0;
      Touch(block, aNowMs);
    }
    return cached;
  }

  /** Events after a number that are old enough; every seventh got lost. */
  std::vector<CacheEvent> EventsAfter(std::uint64_t aSequence,
                                      std::int64_t aNotAfterMs) const
  {
    std::vector<CacheEvent> found;
    for (const CacheEvent& event : mEvents) {
      if (event.mSequence > aSequence && event.mAtMs <= aNotAfterMs &&
          event.mSequence % 7 != 0) {
        found.push_back(event);
      }
    }
    return found;
  }

private:
  static constexpr std::size_t kMostEvents = 10000;

  void Touch(std::uint64_t aBlock, std::int64_t aNowMs)
  {
    const auto place = mPlaces.find(aBlock);
    if (place != mPlaces.end()) {
      mByUse.splice(mByUse.begin(), mByUse, place->second);
      return;
    }
    mByUse.push_front(aBlock);
    mPlaces[aBlock] = mByUse.begin();
    Publish(true, aBlock, aNowMs);
    if (mByUse.size() > mMostBlocks) {
      Publish(false, mByUse.back(), aNowMs);
      mPlaces.erase(mByUse.back());
      mByUse.pop_back();
    }
  }

  void Publish(bool aStored, std::uint64_t aBlock, std::int64_t aNowMs)
  {
    mEvents.push_back({ .mSequence = ++mLastSequence,
                        .mStored = aStored,
                        .mBlock = aBlock,
                        .mAtMs = aNowMs });
    if (mEvents.size() > kMostEvents) {
      mEvents.pop_front();
    }
  }

  const std::size_t mMostBlocks;
  std::list<std::uint64_t> mByUse;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> mPlaces;
  std::deque<CacheEvent> mEvents;
  std::uint64_t mLastSequence = 0;
};

} // namespace peridotspool::fakes
