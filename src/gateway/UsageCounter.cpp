#include "peridotspool/gateway/UsageCounter.h"

namespace peridotspool::gateway {

namespace {

/** Windows in each report. Older ones are included so that a new leader can
 * count windows that an earlier leader did not report. */
constexpr std::size_t kMaxWindows = 5;

} // namespace

UsageCounter::UsageCounter(Duration aWindow, std::uint64_t aIncarnation)
  : mWindow(aWindow)
  , mIncarnation(aIncarnation)
{
}

void
UsageCounter::SetMedianTime(std::int64_t aMicros, TimePoint aNow)
{
  mMedianOffset = aMicros - aNow.time_since_epoch().count();
}

void
UsageCounter::Count(const CustomerName& aCustomer,
                    std::int64_t aWallMicros,
                    TimePoint aNow)
{
  const std::int64_t micros =
    mMedianOffset ? aNow.time_since_epoch().count() + *mMedianOffset
                  : aWallMicros;
  if (micros < 0) {
    return;
  }
  const std::uint64_t number = static_cast<std::uint64_t>(micros) /
                               static_cast<std::uint64_t>(mWindow.count());
  UsageWindow& window = mWindows[number];
  window.mNumber = number;
  ++window.mCounts[aCustomer];
  while (mWindows.size() > kMaxWindows) {
    mWindows.erase(mWindows.begin());
  }
}

UsageReport
UsageCounter::Report(std::int64_t aWallMicros) const
{
  UsageReport report{ .mEntryIncarnation = mIncarnation,
                      .mWallMicros = aWallMicros,
                      .mWindows = {} };
  for (const auto& [number, window] : mWindows) {
    report.mWindows.push_back(window);
  }
  return report;
}

} // namespace peridotspool::gateway
