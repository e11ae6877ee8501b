#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace peridotspool::routing {

/** Index in the router's table of upstreams. */
using UpstreamIndex = std::uint32_t;

/** An upstream that may have a prompt's leading blocks in its cache. */
struct PrefixHolder
{
  UpstreamIndex mUpstream = 0;
  /** Number of leading blocks of the prompt. */
  std::uint32_t mBlocks = 0;
  /** False if it is a guess, or reports were lost since. */
  bool mKnown = false;
};

/** Maximum number of holders found for one prompt. */
inline constexpr std::size_t kMaxHolders = 2;
struct PrefixMatch
{
  std::array<PrefixHolder, kMaxHolders> mHolders;
  std::size_t mCount = 0;
};

/**
 * Tracks which upstream has which prompt blocks in its cache, from reports that
 * may be late or lost. Memory is fixed: a new block replaces the oldest one of
 * its bucket.
 */
class PrefixIndex
{
public:
  /** aBlocks must be a power of two. */
  explicit PrefixIndex(std::uint32_t aBlocks);

  /** Records that the upstream has a block; aKnown is false for a guess. */
  void Add(std::uint64_t aBlock, UpstreamIndex aUpstream, bool aKnown);
  /**
   * Records all blocks of a prompt. Of a long prompt only some prefix lengths
   * are stored, the same for all prompts, so that the common prefix of two
   * prompts is found.
   */
  void AddPrompt(std::span<const std::uint64_t> aBlocks,
                 UpstreamIndex aUpstream,
                 bool aKnown);
  void Remove(std::uint64_t aBlock, UpstreamIndex aUpstream);
  /** Makes all blocks of an upstream guesses; called when reports were lost. */
  void MarkUncertain(UpstreamIndex aUpstream);
  /** Drops all blocks of an upstream; called for a new incarnation. */
  void Clear(UpstreamIndex aUpstream);

  /** Finds the holders of the longest prefix; the longest block is last. */
  PrefixMatch Find(std::span<const std::uint64_t> aBlocks) const;

private:
  /** Counters of an upstream's incarnations and of its lost reports. */
  struct Generation
  {
    std::uint16_t mIncarnation = 0;
    std::uint16_t mGaps = 0;
  };
  struct Cell
  {
    std::uint64_t mBlock = 0;
    UpstreamIndex mUpstream = 0;
    Generation mGeneration;
    /** Sequence number of the write, for eviction; zero for an empty cell. */
    std::uint32_t mStamp = 0;
    bool mKnown = false;
  };

  /** Returns the next shorter prefix length that is stored; zero for none. */
  static std::size_t IndexedBelow(std::size_t aLength);
  std::size_t BucketOf(std::uint64_t aBlock) const;
  Generation GenerationOf(UpstreamIndex aUpstream) const;
  bool IsCurrent(const Cell& aCell) const;
  void Collect(std::uint64_t aBlock,
               std::uint32_t aLength,
               PrefixMatch& aMatch) const;

  std::vector<Cell> mCells;
  std::vector<Generation> mGenerations;
  std::uint32_t mStamp = 0;
};

} // namespace peridotspool::routing
