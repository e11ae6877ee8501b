#pragma once

#include "peridotspool/base/Time.h"

#include <cstdint>
#include <map>
#include <optional>

namespace peridotspool::gateway {

/**
 * The time of day that most processes agree on. Some clocks may jump by
 * seconds, the leader's own among them; the median of all does not.
 *
 * A pure step. Not thread-safe.
 */
class MedianClock
{
public:
  /** Takes a process's time of day, read just now. */
  void RecordReading(std::uint64_t aProcess,
                     std::int64_t aMicros,
                     TimePoint aNow);
  /** Returns empty until a process has told its time. */
  std::optional<std::int64_t> Micros(TimePoint aNow) const;

private:
  struct Reading
  {
    std::int64_t mOffset = 0;
    TimePoint mReadAt;
  };
  std::map<std::uint64_t, Reading> mReadings;
};

} // namespace peridotspool::gateway
