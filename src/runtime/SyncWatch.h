#pragma once

#include "peridotspool/base/Time.h"

#include <cstdint>
#include <mutex>
#include <optional>

namespace peridotspool::runtime {

/** Syncs since the last summary. */
struct SyncSummary
{
  std::uint64_t mCount = 0;
  Duration mMean{ 0 };
  Duration mLongest{ 0 };

  auto operator<=>(const SyncSummary&) const = default;
};

/**
 * Times the writes of one disk. The writing thread says when each begins and
 * ends; another one asks, so that a write that never ends is seen as well.
 */
class SyncWatch
{
public:
  void Begin(TimePoint aNow);
  /** Returns how long the write took. */
  Duration End(TimePoint aNow);
  /** How long a write has been under way, where that is too long; about once a
   * second. */
  std::optional<Duration> Hangs(TimePoint aNow);
  /** Every ten seconds, where anything was written. */
  std::optional<SyncSummary> Due(TimePoint aNow);

private:
  std::mutex mMutex;
  std::optional<TimePoint> mSince;
  std::optional<TimePoint> mToldAt;
  std::optional<TimePoint> mSummedAt;
  std::uint64_t mCount = 0;
  Duration mSum{ 0 };
  Duration mLongest{ 0 };
};

} // namespace peridotspool::runtime
