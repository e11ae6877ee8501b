#pragma once

#include "peridotspool/base/Time.h"

#include <cstddef>
#include <optional>

namespace peridotspool::gateway {

struct StartupPolicyOptions
{
  /** Requests may wait if they arrive within this time after the start; none
   * may if it is zero. */
  Duration mStartupPeriod{ 0 };
  /** Bounds the wait of one request. */
  Duration mMaxWait = std::chrono::milliseconds(500);
  /** How long after the first replica's update of upstreams the others'
   * updates are awaited. */
  Duration mUpdateCollectionTime = std::chrono::milliseconds(150);
};

/**
 * Decides how long a request may wait in a process that has just started and
 * has no settings yet or knows no upstream yet.
 *
 * Has no side effects beyond its own state. Not thread-safe.
 */
class StartupPolicy
{
public:
  /** Makes no request wait. */
  StartupPolicy() = default;
  StartupPolicy(StartupPolicyOptions aOptions, TimePoint aStartedAt);

  /** Records that aReported of aTotal control replicas have sent the upstreams
   * that are registered with them. */
  void RecordUpdates(std::size_t aReported, std::size_t aTotal, TimePoint aNow);
  /** Returns true iff enough updates have come to choose among upstreams. */
  bool HasEnoughUpdates(TimePoint aNow) const;
  /** Returns the time that a request may still wait; empty iff it is to be
   * refused now. */
  std::optional<Duration> RemainingWait(TimePoint aArrivedAt,
                                        TimePoint aNow) const;

private:
  StartupPolicyOptions mOptions;
  TimePoint mStartedAt;
  std::optional<TimePoint> mFirstUpdateAt;
  bool mAllReported = false;
};

} // namespace peridotspool::gateway
