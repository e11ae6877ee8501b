#pragma once

#include "peridotspool/base/Time.h"

#include <cstddef>
#include <optional>

namespace peridotspool::gateway {

struct StartupPolicyOptions
{
  /** Requests that come this soon after the start may wait; none if zero. */
  Duration mStartupPeriod{ 0 };
  /** One request waits this long at most. */
  Duration mMaxWait = std::chrono::milliseconds(500);
  /** Of the news of upstreams, the last is waited for this long after the
   * first. */
  Duration mUpdateCollectionTime = std::chrono::milliseconds(150);
};

/**
 * Says how long a request may wait in a process that has just started and has
 * no settings, or knows no upstream, yet.
 *
 * A pure step. Not thread-safe.
 */
class StartupPolicy
{
public:
  /** Lets nothing wait. */
  StartupPolicy() = default;
  StartupPolicy(StartupPolicyOptions aOptions, TimePoint aStartedAt);

  /** aHeard of the aOf replicas that take announcements have told theirs. */
  void RecordUpdates(std::size_t aHeard, std::size_t aOf, TimePoint aNow);
  /** Returns true iff what is known of upstreams is enough to choose by. */
  bool HasEnoughUpdates(TimePoint aNow) const;
  /** Returns the wait that is left; empty iff it is to be refused at once. */
  std::optional<Duration> RemainingWait(TimePoint aArrivedAt,
                                        TimePoint aNow) const;

private:
  StartupPolicyOptions mOptions;
  TimePoint mStartedAt;
  std::optional<TimePoint> mFirstUpdateAt;
  bool mAllReported = false;
};

} // namespace peridotspool::gateway
