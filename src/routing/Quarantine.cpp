#include "peridotspool/routing/Quarantine.h"

#include <algorithm>

namespace peridotspool::routing {

namespace {

/** A row is some 200 bytes; cleared ones are the first to go. */
constexpr std::size_t kMostRows = 512;
/** Lives named in a row, for operators. */
constexpr std::size_t kMostCrashes = 8;

auto
RowOf(const std::vector<QuarantineRow>& aRows, const ContentId& aContent)
{
  return std::find_if(aRows.begin(), aRows.end(), [&](const auto& aRow) {
    return aRow.mChange.mContent == aContent;
  });
}

} // namespace

const QuarantineRow*
QuarantineTable::Find(const ContentId& aContent) const
{
  const auto row = RowOf(mRows, aContent);
  return row == mRows.end() ? nullptr : &*row;
}

// A cleared row stays for a while: entries have to hear of it, and what ended
// before it was cleared is no evidence any more.
void
QuarantineTable::Apply(const QuarantineChange& aChange)
{
  QuarantineRow next{ .mNumber = ++mNumber, .mChange = aChange };
  const auto before = RowOf(mRows, aChange.mContent);
  if (before != mRows.end()) {
    if (aChange.mStage == QuarantineStage::kCleared) {
      next.mChange.mCrashes = before->mChange.mCrashes;
    }
    mRows.erase(before);
  }
  auto& crashes = next.mChange.mCrashes;
  crashes.resize(std::min(crashes.size(), kMostCrashes));
  mRows.push_back(std::move(next));
  if (mRows.size() > kMostRows) {
    const auto cleared =
      std::find_if(mRows.begin(), mRows.end(), [](const auto& aRow) {
        return aRow.mChange.mStage == QuarantineStage::kCleared;
      });
    mRows.erase(cleared == mRows.end() ? mRows.begin() : cleared);
    mWholeBelow = mNumber;
  }
}

QuarantineTold
QuarantineTable::Since(std::uint64_t aKnown) const
{
  const bool whole = aKnown < mWholeBelow || aKnown > mNumber;
  QuarantineTold told{ .mFrom = whole ? 0 : aKnown,
                       .mTo = mNumber,
                       .mLines = {} };
  for (const QuarantineRow& row : mRows) {
    const bool listed = told.mFrom == 0
                          ? row.mChange.mStage != QuarantineStage::kCleared
                          : row.mNumber > told.mFrom;
    if (listed) {
      told.mLines.push_back(
        { .mContent = row.mChange.mContent, .mStage = row.mChange.mStage });
    }
  }
  return told;
}

} // namespace peridotspool::routing
