#pragma once

#include "peridotspool/base/Time.h"

#include <deque>
#include <optional>

namespace peridotspool::gateway {

/** Units that the leader granted to an entry for requests to come. */
class PrefetchedQuota
{
public:
  void Add(double aUnits, TimePoint aExpiresAt);
  /** Takes all of them or none; returns when the first of them would lapse. */
  std::optional<TimePoint> TryTake(double aUnits, TimePoint aNow);

private:
  struct Lot
  {
    TimePoint mExpiresAt;
    double mUnits = 0.0;
  };

  /** By the time at which they lapse. */
  std::deque<Lot> mLots;
};

} // namespace peridotspool::gateway
