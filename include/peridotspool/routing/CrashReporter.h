#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/routing/CrashReport.h"
#include "peridotspool/routing/CrashWitness.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace peridotspool::routing {

/**
 * Keeps what this entry saw of ended lives, and tells each control leader of it
 * until that has it: a message may be lost, and a new leader knows nothing of
 * what the one before had only heard.
 *
 * A pure step; not thread-safe.
 */
class CrashReporter
{
public:
  void Add(const EndedLife& aEnded);
  /** A leader that has heard nothing from here yet. */
  void MeetLeader();
  /** What is to be sent to the leader now; empty for nothing. */
  std::optional<CrashReport> Report(TimePoint aNow);
  void Take(const CrashTaken& aTaken);
  /** Forgets what is too old to count. */
  void Forget(TimePoint aNow);

private:
  struct Kept
  {
    UpstreamLife mLife;
    LostAnswer mLost;
    bool mTaken = false;
    /** The last report that had it. */
    std::uint64_t mReport = 0;
    std::optional<TimePoint> mToldAt;
  };

  std::deque<Kept> mKept;
  std::uint64_t mLastReport = 0;
};

} // namespace peridotspool::routing
