#pragma once

#include "peridotspool/base/Time.h"

namespace peridotspool::routing {

/** Bounds a rate. The burst is the tokens of one second, at least one. */
class TokenBucket
{
public:
  explicit TokenBucket(double aRatePerSecond);

  /** Changes the rate. Accumulated tokens are kept up to the new burst. */
  void SetRate(double aRatePerSecond, TimePoint aNow);

  /** Consumes a token; returns false iff there is none. */
  bool Take(TimePoint aNow);

  /** Returns the time until a token is available; a day if the rate is zero. */
  Duration UntilNext(TimePoint aNow);

private:
  void Fill(TimePoint aNow);
  double Burst() const;

  double mRate;
  double mTokens;
  TimePoint mFilledAt = TimePoint::min();
};

} // namespace peridotspool::routing
