#include "peridotspool/gateway/LowerQuartileEstimator.h"

#include <algorithm>

namespace peridotspool::gateway {

namespace {

constexpr double kQuartile = 0.25;
/** Relative step of the value, for the first samples and in the long run. */
constexpr double kInitialStep = 0.5;
constexpr double kMinStep = 0.02;

} // namespace

// A mean would follow the waiting times: when engines are full for seconds,
// each sample is many times the true value, and the mean needs as long again to
// recover. In the long run this estimate rises by 0.5% for a sample above it
// and falls by 1.5% for one below, however far away the sample is.
void
LowerQuartileEstimator::AddSample(double aSample)
{
  if (mSamples == 0) {
    mValue = aSample;
  }
  ++mSamples;
  const double step =
    std::max(kMinStep, kInitialStep / static_cast<double>(mSamples));
  mValue *=
    aSample < mValue ? 1.0 - (1.0 - kQuartile) * step : 1.0 + kQuartile * step;
}

} // namespace peridotspool::gateway
