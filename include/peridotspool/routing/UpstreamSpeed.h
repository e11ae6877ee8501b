#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/routing/SpeedMessage.h"
#include "peridotspool/routing/WorkSpeed.h"

#include <array>
#include <cstdint>
#include <optional>

namespace peridotspool::routing {

/**
 * Learns the speed of one incarnation of an upstream relative to its service's
 * usual one, by kind of work, from what its sends took and from what it states.
 *
 * Does no I/O and reads no clock. Not thread-safe.
 */
class UpstreamSpeed
{
public:
  void Add(const WorkObservation& aObservation, TimePoint aNow);
  /** Records a statement without an observation. */
  void AddStated(const StatedSlowness& aStated, TimePoint aNow);
  SpeedEstimate Estimate(TimePoint aNow) const;

private:
  struct Statement
  {
    std::uint32_t mPercent = 100;
    TimePoint mStatedAt;
  };

  std::array<WorkSpeed, 3> mKinds;
  std::optional<Statement> mStated;
  std::uint32_t mSamples = 0;
};

} // namespace peridotspool::routing
