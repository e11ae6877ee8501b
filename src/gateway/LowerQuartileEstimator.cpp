#include "peridotspool/gateway/LowerQuartileEstimator.h"

#include <algorithm>

namespace peridotspool::gateway {

namespace {

constexpr double kQuartile = 0.25;
/** How far a sample moves the value, as a part of it, at first and at last. */
constexpr double kInitialStep = 0.5;
constexpr double kMinStep = 0.02;

} // namespace

// A mean follows what waits: when engines are full for seconds, each sample is
// many times what it should be, and the mean needs as long again to come back.
// This one rises by one in two hundred with a sample above it and falls by
// three with one below it, however far off they are.
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
