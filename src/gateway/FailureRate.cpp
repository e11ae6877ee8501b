#include "peridotspool/gateway/FailureRate.h"

#include <cmath>

namespace peridotspool::gateway {

namespace {

constexpr double kDecaySeconds = 2.0;
/** Minimum decayed number of sends; a rate over fewer is mostly chance. */
constexpr double kMinEnded = 3.0;

double
Decay(Duration aSince)
{
  return std::exp(-std::chrono::duration<double>(aSince).count() /
                  kDecaySeconds);
}

} // namespace

void
FailureRate::Record(bool aFailed, TimePoint aNow)
{
  const double decay = Decay(aNow - mUpdatedAt);
  mEnded = mEnded * decay + 1.0;
  mFailed = mFailed * decay + (aFailed ? 1.0 : 0.0);
  mUpdatedAt = aNow;
}

std::uint32_t
FailureRate::Percent(TimePoint aNow) const
{
  if (mEnded * Decay(aNow - mUpdatedAt) < kMinEnded) {
    return 0;
  }
  return static_cast<std::uint32_t>(std::lround(100.0 * mFailed / mEnded));
}

} // namespace peridotspool::gateway
