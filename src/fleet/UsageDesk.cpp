#include "peridotspool/fleet/UsageDesk.h"

#include <algorithm>

namespace peridotspool::fleet {

namespace {

/** Reports of a window's end have come this long after it. */
constexpr std::int64_t kSettleMicros = 1200000;
constexpr std::size_t kMostWindows = 12;
/** A life that did not report for this long has ended. */
constexpr std::int64_t kForgetMicros = 20000000;

} // namespace

UsageDesk::UsageDesk(Duration aWindow, Duration aMost)
  : mWindow(aWindow)
  , mMost(aMost)
{
}

void
UsageDesk::Take(const gateway::UsageReport& aReport, std::int64_t aMicros)
{
  mReportedAt[aReport.mEntryIncarnation] = aMicros;
  std::erase_if(mReportedAt, [&](const auto& aPair) {
    return aMicros - aPair.second > kForgetMicros;
  });
  for (const gateway::UsageWindow& window : aReport.mWindows) {
    mReports[window.mNumber][aReport.mEntryIncarnation] = window;
  }
  while (mReports.size() > kMostWindows) {
    mReports.erase(mReports.begin());
  }
}

// An entry that is cut off goes on serving and reports when it is back; counts
// that were settled without it could not be mended any more.
bool
UsageDesk::IsWhole(std::int64_t aEnd) const
{
  return std::all_of(
    mReportedAt.begin(), mReportedAt.end(), [&](const auto& aPair) {
      return aPair.second >= aEnd + kSettleMicros / 4;
    });
}

std::optional<gateway::UsageWindow>
UsageDesk::Due(std::uint64_t aLast, std::int64_t aMicros)
{
  const auto next = mReports.upper_bound(aLast);
  if (next == mReports.end()) {
    return std::nullopt;
  }
  const auto end = static_cast<std::int64_t>(next->first + 1) * mWindow.count();
  const bool settled = aMicros >= end + kSettleMicros && IsWhole(end);
  if (!settled && aMicros < end + mMost.count()) {
    return std::nullopt;
  }
  gateway::UsageWindow sum{ .mNumber = next->first, .mCounts = {} };
  for (const auto& [life, window] : next->second) {
    for (const auto& [customer, count] : window.mCounts) {
      sum.mCounts[customer] += count;
    }
  }
  return sum;
}

} // namespace peridotspool::fleet
