#pragma once

#include "peridotspool/base/Time.h"

#include <cstddef>

namespace peridotspool::limits {

/**
 * The permits of one upstream: a token bucket that starts empty. Any interval
 * of T seconds yields at most Burst(rate) + rate x T permits.
 *
 * Reads no clock. Not thread-safe.
 */
class PermitBucket
{
public:
  PermitBucket(double aPerSecond, TimePoint aNow);

  /** Returns the most permits that can accumulate at a rate; at least one. */
  static double Burst(double aPerSecond);

  /** Drops all accumulated permits. */
  void Clear(TimePoint aNow);
  /** Accumulated permits are kept up to the new burst. */
  void SetRate(double aPerSecond, TimePoint aNow);
  /** Returns false iff there is no permit. */
  bool TryTake(TimePoint aNow);
  /** Accounts for a send without a permit, which later permits make up for. */
  void Charge(TimePoint aNow);
  /**
   * Puts back a permit that wasn't used, less what has accumulated in its place
   * since it was taken.
   */
  void PutBack(TimePoint aTakenAt, TimePoint aNow);
  /** Returns the time until the permit after aAhead others is available. */
  Duration Wait(std::size_t aAhead, TimePoint aNow) const;

  double PerSecond() const { return mPerSecond; }

private:
  double PermitsAt(TimePoint aNow) const;
  void Advance(TimePoint aNow);

  double mPerSecond;
  /** Negative after sends without permits. */
  double mPermits = 0.0;
  TimePoint mAdvancedAt;
};

} // namespace peridotspool::limits
