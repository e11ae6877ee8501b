#pragma once

#include "peridotspool/base/Time.h"

#include <cstdint>
#include <deque>

namespace peridotspool::routing {

/**
 * Estimates an upstream's current load from an older report: the reported load,
 * plus the requests that this entry sent since, minus those that ended here
 * since.
 */
class LoadEstimate
{
public:
  /** Applies a report of the load as of aReportTime. */
  void Report(std::uint32_t aLoad, TimePoint aReportTime);
  void Sent(TimePoint aNow);
  /**
   * Returns the duration of the request, assuming that requests end in the
   * order in which they were sent.
   */
  Duration Ended(TimePoint aNow);
  /** Drops all state; called for a new incarnation. */
  void Reset();

  /**
   * Returns the requests at the upstream now, at least those of this entry.
   * Changes by this entry since the report are multiplied by aOwnWeight.
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
  /** When this entry's running requests were sent, oldest first. */
  std::deque<TimePoint> mOwnSendTimes;
};

} // namespace peridotspool::routing
