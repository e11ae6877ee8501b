#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/gateway/LowerQuartileEstimator.h"

#include <optional>

namespace peridotspool::gateway {

/**
 * Estimates what the upstreams of one service usually take for a plain call and
 * for one event of a stream. Lower quartiles, as waiting only adds time.
 *
 * Does no I/O and reads no clock. Not thread-safe.
 */
class UsualTimes
{
public:
  void AddPlain(Duration aTook) { Add(mPlainMs, mHasPlain, aTook); }
  void AddEvent(Duration aTook) { Add(mEventMs, mHasEvent, aTook); }
  /** Returns empty before the first sample. */
  std::optional<Duration> Plain() const { return Get(mPlainMs, mHasPlain); }
  std::optional<Duration> Event() const { return Get(mEventMs, mHasEvent); }

private:
  using Ms = std::chrono::duration<double, std::milli>;

  static void Add(LowerQuartileEstimator& aTo, bool& aHas, Duration aTook)
  {
    if (aTook > Duration(0)) {
      aTo.AddSample(Ms(aTook).count());
      aHas = true;
    }
  }
  static std::optional<Duration> Get(const LowerQuartileEstimator& aFrom,
                                     bool aHas)
  {
    return aHas ? std::optional(
                    std::chrono::duration_cast<Duration>(Ms(aFrom.Value())))
                : std::nullopt;
  }

  LowerQuartileEstimator mPlainMs{ 1.0 };
  LowerQuartileEstimator mEventMs{ 1.0 };
  bool mHasPlain = false;
  bool mHasEvent = false;
};

} // namespace peridotspool::gateway
