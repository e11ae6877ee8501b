#pragma once

#include "peridotspool/base/Time.h"

#include <optional>

namespace peridotspool::gateway {

struct StartPlanOptions
{
  /** Requests that come this soon after the start may wait; none if zero. */
  Duration mWithin{ 0 };
  /** One request waits this long at most. */
  Duration mWaitMost = std::chrono::milliseconds(500);
};

/**
 * Says how long a request may wait in a process that has just started and has
 * no settings, or knows no upstream, yet.
 *
 * A pure step. Not thread-safe.
 */
class StartPlan
{
public:
  /** Lets nothing wait. */
  StartPlan() = default;
  StartPlan(StartPlanOptions aOptions, TimePoint aStartedAt);

  /** Returns the wait that is left; empty iff it is to be refused at once. */
  std::optional<Duration> MayWait(TimePoint aArrivedAt, TimePoint aNow) const;

private:
  StartPlanOptions mOptions;
  TimePoint mStartedAt;
};

} // namespace peridotspool::gateway
