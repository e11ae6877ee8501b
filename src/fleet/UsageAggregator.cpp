#include "peridotspool/fleet/UsageAggregator.h"

#include <algorithm>

namespace peridotspool::fleet {

namespace {

/** Reports covering a window's end arrive within this time after it. */
constexpr std::int64_t kSettleMicros = 1200000;
constexpr std::size_t kMaxWindows = 12;
/** An incarnation that has not reported for this long has ended. */
constexpr std::int64_t kIncarnationExpiryMicros = 20000000;

} // namespace

UsageAggregator::UsageAggregator(Duration aWindow, Duration aMaxWait)
  : mWindow(aWindow)
  , mMaxWait(aMaxWait)
{
}

void
UsageAggregator::AddReport(const gateway::UsageReport& aReport,
                           std::int64_t aMicros)
{
  mReportedAt[aReport.mEntryIncarnation] = aMicros;
  if (mExpiryScan.IsDue(TimePoint(Duration(aMicros)))) {
    std::erase_if(mReportedAt, [&](const auto& aPair) {
      return aMicros - aPair.second > kIncarnationExpiryMicros;
    });
  }
  for (const gateway::UsageWindow& window : aReport.mWindows) {
    mReports[window.mNumber][aReport.mEntryIncarnation] = window;
  }
  while (mReports.size() > kMaxWindows) {
    mReports.erase(mReports.begin());
  }
}

// A partitioned entry continues to serve and reports when it reconnects. Counts
// committed without it could not be corrected afterwards.
bool
UsageAggregator::HasAllReports(std::int64_t aEnd) const
{
  return std::all_of(
    mReportedAt.begin(), mReportedAt.end(), [&](const auto& aPair) {
      return aPair.second >= aEnd + kSettleMicros / 4;
    });
}

std::optional<gateway::UsageWindow>
UsageAggregator::Due(std::uint64_t aLast, std::int64_t aMicros)
{
  const auto next = mReports.upper_bound(aLast);
  if (next == mReports.end()) {
    return std::nullopt;
  }
  const auto end = static_cast<std::int64_t>(next->first + 1) * mWindow.count();
  const bool settled = aMicros >= end + kSettleMicros && HasAllReports(end);
  if (!settled && aMicros < end + mMaxWait.count()) {
    return std::nullopt;
  }
  gateway::UsageWindow sum{ .mNumber = next->first, .mCounts = {} };
  for (const auto& [incarnation, window] : next->second) {
    for (const auto& [customer, count] : window.mCounts) {
      sum.mCounts[customer] += count;
    }
  }
  return sum;
}

} // namespace peridotspool::fleet
