#pragma once

#include "peridotspool/base/ScanLimiter.h"
#include "peridotspool/base/Time.h"

#include <cstdint>
#include <map>
#include <optional>

namespace peridotspool::gateway {

/**
 * The median of all processes' wall clocks. A single clock, also the leader's
 * own, may jump by seconds; the median does not follow it. With many processes
 * the median may lag behind the newest readings by kMedianPeriod.
 *
 * Does no I/O and reads no clock. Not thread-safe.
 */
class MedianClock
{
public:
  static constexpr Duration kMedianPeriod = std::chrono::milliseconds(100);

  /** Records a process's wall clock time, as received at aNow. */
  void RecordReading(std::uint64_t aProcess,
                     std::int64_t aMicros,
                     TimePoint aNow);
  /** Returns the median wall clock time; empty before the first reading. */
  std::optional<std::int64_t> Micros(TimePoint aNow) const;
  /** Returns how often all readings were scanned. */
  std::uint64_t Scans() const { return mScan.Scans(); }

private:
  struct Reading
  {
    /** Wall clock less the local monotonic clock, in microseconds. */
    std::int64_t mOffset = 0;
    TimePoint mReadAt;
  };
  void UpdateMedian();

  std::map<std::uint64_t, Reading> mReadings;
  ScanLimiter mScan{ kMedianPeriod };
  /** The median of the readings' offsets at the last scan. */
  std::optional<std::int64_t> mMedianOffset;
};

} // namespace peridotspool::gateway
