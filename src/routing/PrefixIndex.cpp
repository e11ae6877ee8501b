#include "routing/PrefixIndex.h"

#include "peridotspool/base/Invariant.h"

#include <algorithm>

namespace peridotspool::routing {

namespace {

/** Cells per bucket; a block is stored and looked up in a single bucket. */
constexpr std::size_t kWays = 4;

} // namespace

PrefixIndex::PrefixIndex(std::uint32_t aBlocks)
  : mCells(aBlocks)
{
  PERIDOTSPOOL_INVARIANT(aBlocks >= kWays && (aBlocks & (aBlocks - 1)) == 0);
}

std::size_t
PrefixIndex::BucketOf(std::uint64_t aBlock) const
{
  const std::uint64_t mixed = aBlock * 0x9e3779b97f4a7c15ULL;
  return ((mixed >> 20) & (mCells.size() / kWays - 1)) * kWays;
}

PrefixIndex::Generation
PrefixIndex::GenerationOf(UpstreamIndex aUpstream) const
{
  return aUpstream < mGenerations.size() ? mGenerations[aUpstream]
                                         : Generation{};
}

bool
PrefixIndex::IsCurrent(const Cell& aCell) const
{
  return aCell.mStamp != 0 && aCell.mGeneration.mIncarnation ==
                                GenerationOf(aCell.mUpstream).mIncarnation;
}

void
PrefixIndex::Add(std::uint64_t aBlock, UpstreamIndex aUpstream, bool aKnown)
{
  const std::size_t bucket = BucketOf(aBlock);
  Cell* target = &mCells[bucket];
  for (std::size_t way = 0; way < kWays; ++way) {
    Cell& cell = mCells[bucket + way];
    const bool same =
      cell.mBlock == aBlock && cell.mUpstream == aUpstream && IsCurrent(cell);
    if (same) {
      // A guess must not replace what the engine itself reported.
      aKnown = aKnown || (cell.mKnown && cell.mGeneration.mGaps ==
                                           GenerationOf(aUpstream).mGaps);
      target = &cell;
      break;
    }
    const std::uint32_t age = IsCurrent(cell) ? cell.mStamp : 0;
    const std::uint32_t targetAge = IsCurrent(*target) ? target->mStamp : 0;
    if (age < targetAge) {
      target = &cell;
    }
  }
  *target = { .mBlock = aBlock,
              .mUpstream = aUpstream,
              .mGeneration = GenerationOf(aUpstream),
              .mStamp = ++mStamp,
              .mKnown = aKnown };
}

void
PrefixIndex::Remove(std::uint64_t aBlock, UpstreamIndex aUpstream)
{
  const std::size_t bucket = BucketOf(aBlock);
  for (std::size_t way = 0; way < kWays; ++way) {
    Cell& cell = mCells[bucket + way];
    if (cell.mBlock == aBlock && cell.mUpstream == aUpstream) {
      cell = Cell();
    }
  }
}

void
PrefixIndex::MarkUncertain(UpstreamIndex aUpstream)
{
  if (mGenerations.size() <= aUpstream) {
    mGenerations.resize(aUpstream + 1);
  }
  ++mGenerations[aUpstream].mGaps;
}

void
PrefixIndex::Clear(UpstreamIndex aUpstream)
{
  if (mGenerations.size() <= aUpstream) {
    mGenerations.resize(aUpstream + 1);
  }
  ++mGenerations[aUpstream].mIncarnation;
}

void
PrefixIndex::Collect(std::uint64_t aBlock,
                     std::uint32_t aLength,
                     PrefixMatch& aMatch) const
{
  const std::size_t bucket = BucketOf(aBlock);
  for (std::size_t way = 0; way < kWays; ++way) {
    const Cell& cell = mCells[bucket + way];
    if (cell.mBlock != aBlock || !IsCurrent(cell) ||
        aMatch.mCount == kMaxHolders) {
      continue;
    }
    const bool fresh =
      cell.mGeneration.mGaps == GenerationOf(cell.mUpstream).mGaps;
    aMatch.mHolders[aMatch.mCount++] = { .mUpstream = cell.mUpstream,
                                         .mBlocks = aLength,
                                         .mKnown = cell.mKnown && fresh };
  }
}

PrefixMatch
PrefixIndex::Find(std::span<const std::uint64_t> aBlocks) const
{
  PrefixMatch match;
  for (std::size_t length = aBlocks.size(); length > 0 && match.mCount == 0;
       length = IndexedBelow(length)) {
    Collect(aBlocks[length - 1], static_cast<std::uint32_t>(length), match);
  }
  return match;
}

std::size_t
PrefixIndex::IndexedBelow(std::size_t aLength)
{
  constexpr std::size_t kDenseBlocks = 16;
  constexpr std::size_t kMediumBlocks = 64;
  const std::size_t step = aLength <= kDenseBlocks    ? 1
                           : aLength <= kMediumBlocks ? 4
                                                      : 16;
  return (aLength - 1) / step * step;
}

void
PrefixIndex::AddPrompt(std::span<const std::uint64_t> aBlocks,
                       UpstreamIndex aUpstream,
                       bool aKnown)
{
  for (std::size_t length = aBlocks.size(); length > 0;
       length = IndexedBelow(length)) {
    Add(aBlocks[length - 1], aUpstream, aKnown);
  }
}

} // namespace peridotspool::routing
