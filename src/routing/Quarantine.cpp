#include "peridotspool/routing/Quarantine.h"

#include <algorithm>

namespace peridotspool::routing {

namespace {

/** A row takes about 200 bytes. Cleared rows are evicted first. */
constexpr std::size_t kMaxRows = 512;
/** Crashed incarnations listed in a row, for operators. */
constexpr std::size_t kMaxCrashes = 8;

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

// A cleared row is kept for a while: entries have to receive the change, and
// crashes from before it was cleared must not count as evidence again.
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
  crashes.resize(std::min(crashes.size(), kMaxCrashes));
  mRows.push_back(std::move(next));
  if (mRows.size() > kMaxRows) {
    const auto cleared =
      std::find_if(mRows.begin(), mRows.end(), [](const auto& aRow) {
        return aRow.mChange.mStage == QuarantineStage::kCleared;
      });
    mRows.erase(cleared == mRows.end() ? mRows.begin() : cleared);
    mMinDeltaBase = mNumber;
  }
}

QuarantineUpdate
QuarantineTable::UpdateSince(std::uint64_t aKnownNumber) const
{
  const bool whole = aKnownNumber < mMinDeltaBase || aKnownNumber > mNumber;
  QuarantineUpdate update{ .mFrom = whole ? 0 : aKnownNumber,
                           .mTo = mNumber,
                           .mLines = {} };
  for (const QuarantineRow& row : mRows) {
    const bool listed = update.mFrom == 0
                          ? row.mChange.mStage != QuarantineStage::kCleared
                          : row.mNumber > update.mFrom;
    if (listed) {
      update.mLines.push_back(
        { .mContent = row.mChange.mContent, .mStage = row.mChange.mStage });
    }
  }
  return update;
}

} // namespace peridotspool::routing
