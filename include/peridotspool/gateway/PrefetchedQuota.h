#pragma once

#include "peridotspool/base/Time.h"

#include <deque>
#include <optional>

namespace peridotspool::gateway {

/** Units that the leader granted to an entry in advance of requests. */
class PrefetchedQuota
{
public:
  void Add(double aUnits, TimePoint aExpiresAt);
  /**
   * Takes aUnits, or nothing if fewer are left. Returns when the first of the
   * taken units would have expired; empty if nothing was taken.
   */
  std::optional<TimePoint> TryTake(double aUnits, TimePoint aNow);

private:
  struct Lot
  {
    TimePoint mExpiresAt;
    double mUnits = 0.0;
  };

  /** Sorted by expiry. */
  std::deque<Lot> mLots;
};

} // namespace peridotspool::gateway
