#include "peridotspool/routing/Quarantine.h"

#include <algorithm>

namespace peridotspool::routing {

namespace {

/** A row takes about 200 bytes. */
constexpr std::size_t kMaxRows = 512;

auto
RowOf(const std::vector<QuarantineRow>& aRows, const ContentId& aContent)
{
  return std::find_if(aRows.begin(), aRows.end(), [&](const auto& aRow) {
    return aRow.mChange.mContent == aContent;
  });
}

// Rows that restrict nothing are evicted first.
int
EvictionRank(QuarantineStage aStage)
{
  switch (aStage) {
    case QuarantineStage::kCleared:
      return 0;
    case QuarantineStage::kWatched:
      return 1;
    case QuarantineStage::kOneAtATime:
      return 2;
    case QuarantineStage::kRefused:
      return 3;
  }
  return 0;
}

} // namespace

QuarantineStage
QuarantineStatus::StageFor(const CustomerName& aCustomer) const
{
  if (mStage != QuarantineStage::kRefused || !mOnlyFor.IsSet() ||
      mOnlyFor == aCustomer) {
    return mStage;
  }
  return mOthersAllowed ? QuarantineStage::kWatched
                        : QuarantineStage::kOneAtATime;
}

QuarantineStatus
StatusOf(const QuarantineChange& aChange)
{
  QuarantineStatus status{ .mContent = aChange.mContent,
                           .mStage = aChange.mStage,
                           .mOthersAllowed = aChange.mOthersAllowed };
  if (aChange.mCustomers.size() == 1) {
    status.mOnlyFor = aChange.mCustomers.front();
  }
  return status;
}

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
  crashes.resize(std::min(crashes.size(), kMaxRecordedCrashes));
  mRows.push_back(std::move(next));
  if (mRows.size() > kMaxRows) {
    const auto evicted = std::min_element(
      mRows.begin(), mRows.end(), [](const auto& aOne, const auto& aOther) {
        return EvictionRank(aOne.mChange.mStage) <
               EvictionRank(aOther.mChange.mStage);
      });
    // Entries that know of it need no change where it restricts nothing.
    const bool isCleared = evicted->mChange.mStage == QuarantineStage::kCleared;
    mMinDeltaBase =
      isCleared ? std::max(mMinDeltaBase, evicted->mNumber) : mNumber;
    mRows.erase(evicted);
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
      update.mLines.push_back(StatusOf(row.mChange));
    }
  }
  return update;
}

} // namespace peridotspool::routing
