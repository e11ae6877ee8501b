#pragma once

#include "peridotspool/base/Time.h"

#include <cstdint>

namespace peridotspool::gateway {

/**
 * Recent share of sends to one upstream that failed. Older results decay, so
 * that an upstream that is avoided becomes eligible again.
 *
 * Does no I/O and reads no clock. Not thread-safe.
 */
class FailureRate
{
public:
  void Record(bool aFailed, TimePoint aNow);
  /** Returns 0 while too few sends have ended for a meaningful rate. */
  std::uint32_t Percent(TimePoint aNow) const;

private:
  double mEnded = 0.0;
  double mFailed = 0.0;
  TimePoint mUpdatedAt;
};

} // namespace peridotspool::gateway
