#include "peridotspool/gateway/FailureShare.h"

#include <cmath>

namespace peridotspool::gateway {

namespace {

constexpr double kFadeSeconds = 2.0;
/** Sends, faded, below which a share is chance. */
constexpr double kLeastEnded = 3.0;

double
Fade(Duration aSince)
{
  return std::exp(-std::chrono::duration<double>(aSince).count() /
                  kFadeSeconds);
}

} // namespace

void
FailureShare::Take(bool aFailed, TimePoint aNow)
{
  const double fade = Fade(aNow - mAt);
  mEnded = mEnded * fade + 1.0;
  mFailed = mFailed * fade + (aFailed ? 1.0 : 0.0);
  mAt = aNow;
}

std::uint32_t
FailureShare::Percent(TimePoint aNow) const
{
  if (mEnded * Fade(aNow - mAt) < kLeastEnded) {
    return 0;
  }
  return static_cast<std::uint32_t>(std::lround(100.0 * mFailed / mEnded));
}

} // namespace peridotspool::gateway
