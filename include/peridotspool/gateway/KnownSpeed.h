#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/routing/UpstreamSpeed.h"

#include <cstdint>
#include <optional>

namespace peridotspool::gateway {

/**
 * What one entry knows of the speed of an upstream's incarnation: the latest
 * estimate of its load coordinator and, in place of an old one, what the
 * entry's own sends showed.
 *
 * Does no I/O and reads no clock. Not thread-safe.
 */
class KnownSpeed
{
public:
  void ApplyEstimate(const routing::SpeedEstimate& aEstimate, TimePoint aNow);
  void RecordObservation(const routing::WorkObservation& aObservation,
                         TimePoint aNow);
  /** Records the figures of a response; missing ones change nothing. */
  void RecordStated(std::optional<std::uint32_t> aSlots,
                    std::optional<std::uint32_t> aSlownessPercent,
                    TimePoint aNow);
  routing::SpeedEstimate Estimate(TimePoint aNow) const;
  /** Returns the latest statement to this entry with its age. */
  std::optional<routing::StatedSlowness> Stated(TimePoint aNow) const;
  /**
   * Returns the number of requests that the upstream runs at once, of which it
   * announced aAnnounced.
   */
  std::uint32_t Slots(std::uint32_t aAnnounced, TimePoint aNow) const;

private:
  routing::UpstreamSpeed mOwn;
  routing::SpeedEstimate mEstimate;
  std::optional<TimePoint> mEstimatedAt;
  std::uint32_t mSlownessPercent = 100;
  std::optional<TimePoint> mSlownessStatedAt;
  std::uint32_t mSlots = 0;
  std::optional<TimePoint> mSlotsStatedAt;
};

} // namespace peridotspool::gateway
