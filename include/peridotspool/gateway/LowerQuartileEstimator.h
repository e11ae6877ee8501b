#pragma once

#include <cstdint>

namespace peridotspool::gateway {

/**
 * Estimates the lower quartile of a stream of samples. Suits a measure whose
 * samples are never too small but often too large, such as a duration that may
 * include waiting.
 *
 * Does no I/O and reads no clock. Not thread-safe.
 */
class LowerQuartileEstimator
{
public:
  /** aGuess is the value until the first sample. */
  explicit LowerQuartileEstimator(double aGuess)
    : mValue(aGuess)
  {
  }

  /** aSample must be above zero. */
  void AddSample(double aSample);
  double Value() const { return mValue; }

private:
  double mValue;
  std::uint32_t mSamples = 0;
};

} // namespace peridotspool::gateway
