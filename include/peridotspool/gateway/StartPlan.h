#pragma once

#include "peridotspool/base/Time.h"

#include <cstddef>
#include <optional>

namespace peridotspool::gateway {

struct StartPlanOptions
{
  /** Requests that come this soon after the start may wait; none if zero. */
  Duration mWithin{ 0 };
  /** One request waits this long at most. */
  Duration mWaitMost = std::chrono::milliseconds(500);
  /** Of the news of upstreams, the last is waited for this long after the
   * first. */
  Duration mNewsFor = std::chrono::milliseconds(150);
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

  /** aHeard of the aOf replicas that take announcements have told theirs. */
  void TakeNews(std::size_t aHeard, std::size_t aOf, TimePoint aNow);
  /** Returns true iff what is known of upstreams is enough to choose by. */
  bool KnowsEnough(TimePoint aNow) const;
  /** Returns the wait that is left; empty iff it is to be refused at once. */
  std::optional<Duration> MayWait(TimePoint aArrivedAt, TimePoint aNow) const;

private:
  StartPlanOptions mOptions;
  TimePoint mStartedAt;
  std::optional<TimePoint> mFirstNewsAt;
  bool mHeardAll = false;
};

} // namespace peridotspool::gateway
