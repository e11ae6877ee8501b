#pragma once

#include "peridotspool/base/Time.h"

#include <cstdint>
#include <optional>

namespace peridotspool {

/**
 * Limits how often a whole table is scanned. A scan for each message costs the
 * square of the table's size where each row sends messages.
 */
class ScanLimiter
{
public:
  explicit ScanLimiter(Duration aPeriod)
    : mPeriod(aPeriod)
  {
  }

  /** Returns true iff a scan is due; the caller then scans. */
  bool IsDue(TimePoint aNow)
  {
    // A wall clock that is used as the time may be set back.
    const bool recent =
      mScannedAt && aNow >= *mScannedAt && aNow - *mScannedAt < mPeriod;
    if (recent) {
      return false;
    }
    mScannedAt = aNow;
    ++mScans;
    return true;
  }

  /** Returns the number of scans so far. */
  std::uint64_t Scans() const { return mScans; }

private:
  Duration mPeriod;
  std::optional<TimePoint> mScannedAt;
  std::uint64_t mScans = 0;
};

} // namespace peridotspool
