#pragma once

#include "peridotspool/base/Time.h"

namespace peridotspool::limits {

/** The units of one customer that a queue can grant, now and later. */
struct QuotaSupply
{
  /** Units that are available at mAt. */
  double mAvailable = 0.0;
  /** Units that accrue in a second. */
  double mPerSecond = 0.0;
  /** The most units that can ever be available. */
  double mMaxUnits = 0.0;
  TimePoint mAt;

  /** Returns the units that have become available by aTime. */
  double UnitsBy(TimePoint aTime) const
  {
    return mAvailable +
           mPerSecond * std::chrono::duration<double>(aTime - mAt).count();
  }
};

} // namespace peridotspool::limits
