#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/routing/CrashDetector.h"
#include "peridotspool/routing/CrashReport.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace peridotspool::routing {

/**
 * Buffers the crashes that this entry detected and reports them to each control
 * leader until it acknowledges them. A message may be lost, and a new leader
 * has no crashes that its predecessor received but did not commit.
 *
 * Does no I/O and reads no clock. Not thread-safe.
 */
class CrashReporter
{
public:
  void Add(const UpstreamCrash& aCrash);
  /**
   * Called when a leader that has received no reports from this entry takes
   * over.
   */
  void OnNewLeader();
  /** Returns the report to send to the leader now, if any. */
  std::optional<CrashReport> Report(TimePoint aNow);
  void OnAck(const CrashReportAck& aAck);
  /** Drops crashes that are too old to count as evidence. */
  void Forget(TimePoint aNow);

private:
  struct BufferedCrash
  {
    UpstreamIncarnation mUpstream;
    LostResponse mLost;
    bool mAcknowledged = false;
    /** Number of the last report that contained the crash. */
    std::uint64_t mReportNumber = 0;
    std::optional<TimePoint> mReportedAt;
  };

  std::deque<BufferedCrash> mBuffered;
  std::uint64_t mLastReport = 0;
};

} // namespace peridotspool::routing
