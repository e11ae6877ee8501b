#pragma once

#include "peridotspool/base/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace peridotspool::routing {

/**
 * Learns how long one upstream takes for one kind of work, as a multiple of the
 * usual time: a fast average follows spells of slowness, a slow one the
 * machine. Also learns how far the upstream's own statement can be believed.
 *
 * Does no I/O and reads no clock. Not thread-safe.
 */
class WorkSpeed
{
public:
  /**
   * @param aRatio the time that the work took, divided by the usual time
   * @param aStated the same as the upstream stated it; empty if unknown
   */
  void Add(double aRatio, std::optional<double> aStated, TimePoint aNow);
  /**
   * Returns the multiple of the usual time, between 0.5 and 4.
   * @param aStated what the upstream stated last; empty if unknown
   * @param aAge how long ago
   */
  double Ratio(std::optional<double> aStated,
               Duration aAge,
               TimePoint aNow) const;

private:
  /** Sum and weight of observations that decay with time. */
  struct Average
  {
    double mSum = 0.0;
    double mWeight = 0.0;

    void Add(double aValue, double aDecay);
    double Value(double aDecay, double aPrior, double aPriorWeight) const;
  };

  double MachineLog(TimePoint aNow) const;
  double OwnLog(TimePoint aNow) const;
  double MedianOfLatest() const;
  void LearnStated(double aObserved, double aStated, TimePoint aNow);

  Average mSpell;
  Average mMachine;
  /** Logarithm of the observed by the stated ratio. */
  Average mStatedBias;
  /** Squared errors of predictions by observations, and by statements. */
  Average mOwnError;
  Average mStatedError;
  std::array<double, 3> mLatest{};
  std::size_t mCount = 0;
  TimePoint mUpdatedAt;
};

} // namespace peridotspool::routing
