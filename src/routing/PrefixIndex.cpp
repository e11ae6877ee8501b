#include "routing/PrefixIndex.h"

#include "peridotspool/base/Invariant.h"

#include <algorithm>

namespace peridotspool::routing {

namespace {

/** Cells of one bucket; a block is only looked for in its bucket. */
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

PrefixIndex::Track
PrefixIndex::TrackOf(UpstreamIndex aUpstream) const
{
  return aUpstream < mTracks.size() ? mTracks[aUpstream] : Track{};
}

bool
PrefixIndex::IsHeld(const Cell& aCell) const
{
  return aCell.mStamp != 0 &&
         aCell.mTrack.mLife == TrackOf(aCell.mUpstream).mLife;
}

void
PrefixIndex::Add(std::uint64_t aBlock, UpstreamIndex aUpstream, bool aKnown)
{
  const std::size_t bucket = BucketOf(aBlock);
  Cell* target = &mCells[bucket];
  for (std::size_t way = 0; way < kWays; ++way) {
    Cell& cell = mCells[bucket + way];
    const bool same =
      cell.mBlock == aBlock && cell.mUpstream == aUpstream && IsHeld(cell);
    if (same) {
      // A guess must not take back what the engine itself said.
      aKnown = aKnown ||
               (cell.mKnown && cell.mTrack.mGaps == TrackOf(aUpstream).mGaps);
      target = &cell;
      break;
    }
    const std::uint32_t age = IsHeld(cell) ? cell.mStamp : 0;
    const std::uint32_t targetAge = IsHeld(*target) ? target->mStamp : 0;
    if (age < targetAge) {
      target = &cell;
    }
  }
  *target = { .mBlock = aBlock,
              .mUpstream = aUpstream,
              .mTrack = TrackOf(aUpstream),
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
PrefixIndex::LoseTrack(UpstreamIndex aUpstream)
{
  if (mTracks.size() <= aUpstream) {
    mTracks.resize(aUpstream + 1);
  }
  ++mTracks[aUpstream].mGaps;
}

void
PrefixIndex::Clear(UpstreamIndex aUpstream)
{
  if (mTracks.size() <= aUpstream) {
    mTracks.resize(aUpstream + 1);
  }
  ++mTracks[aUpstream].mLife;
}

void
PrefixIndex::Collect(std::uint64_t aBlock,
                     std::uint32_t aLength,
                     PrefixMatch& aMatch) const
{
  const std::size_t bucket = BucketOf(aBlock);
  for (std::size_t way = 0; way < kWays; ++way) {
    const Cell& cell = mCells[bucket + way];
    if (cell.mBlock != aBlock || !IsHeld(cell) ||
        aMatch.mCount == kMaxHolders) {
      continue;
    }
    const bool fresh = cell.mTrack.mGaps == TrackOf(cell.mUpstream).mGaps;
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
  constexpr std::size_t kEach = 16;
  constexpr std::size_t kEachFourth = 64;
  const std::size_t step = aLength <= kEach         ? 1
                           : aLength <= kEachFourth ? 4
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
