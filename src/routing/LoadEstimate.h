#pragma once

#include "peridotspool/base/Time.h"

#include <cstdint>
#include <deque>

namespace peridotspool::routing {

/**
 * An upstream's load now, from a report that is old: the report, plus what
 * this entry sent since the report's time, less what ended here since.
 */
class LoadEstimate
{
public:
  /** Takes a report of the load as it was at aReportTime. */
  void Report(std::uint32_t aLoad, TimePoint aReportTime);
  void Sent(TimePoint aNow);
  /** Returns how long the request duration (first sent, first counted). */
  Duration Ended(TimePoint aNow);
  /** Forgets everything: the upstream has a new life. */
  void Reset();

  /**
   * Requests at the upstream now; at least our own. What this entry sent and
   * saw end since the report counts aOwnWeight times.
   */
  double Load(double aOwnWeight) const;
  std::uint32_t Own() const
  {
    return static_cast<std::uint32_t>(mOwnSendTimes.size());
  }

private:
  struct Step
  {
    TimePoint mAt;
    std::int32_t mChange = 0;
  };

  void Add(TimePoint aNow, std::int32_t aChange);

  std::uint32_t mReported = 0;
  std::int32_t mChanged = 0;
  TimePoint mReportTime = TimePoint::min();
  std::deque<Step> mSteps;
  /** When our requests that run there were sent, oldest first. */
  std::deque<TimePoint> mOwnSendTimes;
};

} // namespace peridotspool::routing
