#pragma once

#include <cstdint>

namespace peridotspool::gateway {

/**
 * A figure of which samples are never too small but often too large, such as a
 * time that includes waiting: three quarters of them lie above it.
 *
 * A pure step. Not thread-safe.
 */
class LowerQuartileEstimator
{
public:
  /** aGuess stands until the first sample. */
  explicit LowerQuartileEstimator(double aGuess)
    : mValue(aGuess)
  {
  }

  /** aSample is above zero. */
  void AddSample(double aSample);
  double Value() const { return mValue; }

private:
  double mValue;
  std::uint32_t mSamples = 0;
};

} // namespace peridotspool::gateway
