#pragma once

#include "peridotspool/base/Time.h"

#include <cstdint>

namespace peridotspool::gateway {

/**
 * How many of the sends to one upstream failed lately. What ended counts less
 * the longer ago it was, so that an upstream that is avoided is tried again.
 *
 * A pure step. Not thread-safe.
 */
class FailureRate
{
public:
  void Record(bool aFailed, TimePoint aNow);
  /** Of 100; 0 while too few have ended to say anything. */
  std::uint32_t Percent(TimePoint aNow) const;

private:
  double mEnded = 0.0;
  double mFailed = 0.0;
  TimePoint mUpdatedAt;
};

} // namespace peridotspool::gateway
