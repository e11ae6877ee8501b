#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace peridotspool::routing {

/** A place in the router's table of upstreams. */
using UpstreamIndex = std::uint32_t;

/** One upstream that may hold a prompt's leading blocks. */
struct PrefixHolder
{
  UpstreamIndex mUpstream = 0;
  /** How many leading blocks of the prompt. */
  std::uint32_t mBlocks = 0;
  /** False where a gap, or a guess of ours, leaves it open. */
  bool mKnown = false;
};

/** Holders found for one prompt; at most this many. */
inline constexpr std::size_t kMaxHolders = 2;
struct PrefixMatch
{
  std::array<PrefixHolder, kMaxHolders> mHolders;
  std::size_t mCount = 0;
};

/**
 * Which upstream holds which blocks of prompts, as far as late and gappy news
 * tells. Memory is fixed: the oldest news of a bucket gives way.
 */
class PrefixIndex
{
public:
  /** aBlocks is a power of two. */
  explicit PrefixIndex(std::uint32_t aBlocks);

  /** Takes a block that the upstream surely (or by our guess) holds. */
  void Add(std::uint64_t aBlock, UpstreamIndex aUpstream, bool aKnown);
  /**
   * Takes a whole prompt. Of a long one only some lengths are kept, the same
   * for all prompts, so that a search finds what two prompts share.
   */
  void AddPrompt(std::span<const std::uint64_t> aBlocks,
                 UpstreamIndex aUpstream,
                 bool aKnown);
  void Remove(std::uint64_t aBlock, UpstreamIndex aUpstream);
  /** All that is known of an upstream becomes a guess: news was lost. */
  void MarkUncertain(UpstreamIndex aUpstream);
  /** Nothing is held any more: the upstream has a new life. */
  void Clear(UpstreamIndex aUpstream);

  /** Finds holders of the longest prefix; the longest block is last. */
  PrefixMatch Find(std::span<const std::uint64_t> aBlocks) const;

private:
  /** A number of an upstream's life, and of its gaps within the life. */
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
    /** When it was written, by count of writes; zero for an empty cell. */
    std::uint32_t mStamp = 0;
    bool mKnown = false;
  };

  /** Returns the next shorter length that is kept; zero for none. */
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
