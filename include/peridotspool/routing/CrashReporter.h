#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/routing/CrashDetector.h"
#include "peridotspool/routing/CrashReport.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace peridotspool::routing {

/**
 * Keeps what this entry saw of ended lives, and tells each control leader of it
 * until that has it: a message may be lost, and a new leader knows nothing of
 * what the crash before had only heard.
 *
 * A pure step; not thread-safe.
 */
class CrashReporter
{
public:
  void Add(const UpstreamCrash& aCrash);
  /** A leader that has heard nothing from here yet. */
  void OnNewLeader();
  /** What is to be sent to the leader now; empty for nothing. */
  std::optional<CrashReport> Report(TimePoint aNow);
  void OnAck(const CrashReportAck& aAck);
  /** Forgets what is too old to count. */
  void Forget(TimePoint aNow);

private:
  struct BufferedCrash
  {
    UpstreamIncarnation mUpstream;
    LostResponse mLost;
    bool mAcknowledged = false;
    /** The last report that had it. */
    std::uint64_t mReportNumber = 0;
    std::optional<TimePoint> mReportedAt;
  };

  std::deque<BufferedCrash> mBuffered;
  std::uint64_t mLastReport = 0;
};

} // namespace peridotspool::routing
