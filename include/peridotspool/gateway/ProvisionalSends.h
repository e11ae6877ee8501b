#pragma once

#include "peridotspool/base/Time.h"

#include <deque>

namespace peridotspool::gateway {

/**
 * Sends to one upstream that are likely because its load was just queried.
 * Without them, all entries that query in the same moment would send to the
 * upstream that has just become the best one.
 *
 * Does no I/O and reads no clock. Not thread-safe.
 */
class ProvisionalSends
{
public:
  /** Adds a send with this probability. */
  void Add(double aProbability, TimePoint aNow);
  /**
   * Replaces the oldest expected sends by a reported one. A report does not say
   * which query it follows, so it counts against as much probability as it has.
   */
  void RecordSend();
  /** Returns the expected number of sends. */
  double Expected(TimePoint aNow) const;

private:
  struct Entry
  {
    double mProbability = 0.0;
    TimePoint mAddedAt;
  };

  std::deque<Entry> mEntries;
};

} // namespace peridotspool::gateway
