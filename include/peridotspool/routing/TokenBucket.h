#pragma once

#include "peridotspool/base/Time.h"

namespace peridotspool::routing {

/** Bounds a rate, with a burst of one second's worth, at least one. */
class TokenBucket
{
public:
  explicit TokenBucket(double aRatePerSecond);

  /** Changes the rate; what was saved up is kept as far as the burst allows. */
  void SetRate(double aRatePerSecond, TimePoint aNow);

  /** Returns true iff one may pass now. */
  bool Take(TimePoint aNow);

  /** How long until one may pass; a day if the rate is zero. */
  Duration UntilNext(TimePoint aNow);

private:
  void Fill(TimePoint aNow);
  double Burst() const;

  double mRate;
  double mTokens;
  TimePoint mFilledAt = TimePoint::min();
};

} // namespace peridotspool::routing
