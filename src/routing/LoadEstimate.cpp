#include "routing/LoadEstimate.h"

#include <algorithm>

namespace peridotspool::routing {

namespace {

/**
 * Changes stored for one upstream; older ones are added to the reported load.
 */
constexpr std::size_t kMaxSteps = 4096;

} // namespace

void
LoadEstimate::Report(std::uint32_t aLoad, TimePoint aReportTime)
{
  mReported = aLoad;
  // The report's time is computed from its arrival and is wrong by the network
  // delay. It never goes back, because the changes up to the last report's time
  // were dropped.
  mReportTime = std::max(mReportTime, aReportTime);
  while (!mSteps.empty() && mSteps.front().mAt <= mReportTime) {
    mChanged -= mSteps.front().mChange;
    mSteps.pop_front();
  }
}

void
LoadEstimate::Sent(TimePoint aNow)
{
  Add(aNow, 1);
  mOwnSendTimes.push_back(aNow);
}

Duration
LoadEstimate::Ended(TimePoint aNow)
{
  if (mOwnSendTimes.empty()) {
    return Duration(0);
  }
  Add(aNow, -1);
  const Duration duration = aNow - mOwnSendTimes.front();
  mOwnSendTimes.pop_front();
  return duration;
}

void
LoadEstimate::Reset()
{
  *this = LoadEstimate();
}

double
LoadEstimate::Load(double aOwnWeight) const
{
  const double load =
    static_cast<double>(mReported) + aOwnWeight * static_cast<double>(mChanged);
  return std::max(load, static_cast<double>(Own()));
}

void
LoadEstimate::Add(TimePoint aNow, std::int32_t aChange)
{
  if (mSteps.size() == kMaxSteps) {
    mReported = static_cast<std::uint32_t>(std::max<std::int64_t>(
      0, static_cast<std::int64_t>(mReported) + mSteps.front().mChange));
    mChanged -= mSteps.front().mChange;
    mSteps.pop_front();
  }
  mSteps.push_back({ aNow, aChange });
  mChanged += aChange;
}

} // namespace peridotspool::routing
