#include "peridotspool/gateway/ReadRate.h"

#include <algorithm>

namespace peridotspool::gateway {

namespace {

/** Fewer are read of prompts that are kept whole, if at all. */
constexpr std::uint64_t kLeastTokens = 100;
/** Below it the way to the first event counts more than the reading. */
constexpr std::uint64_t kMostOfSmall = 1500;
/** From here on the reading counts more. */
constexpr std::uint64_t kLeastOfLarge = 3000;
constexpr double kLeastMsPerToken = 0.0001;
constexpr double kMostMsPerToken = 1.0;
constexpr double kLeastUntilFirstMs = 0.1;

double
Milliseconds(Duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

Duration
FromMilliseconds(double aMs)
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double, std::milli>(aMs));
}

} // namespace

Duration
ReadRate::UntilFirst() const
{
  return FromMilliseconds(mUntilFirstMs.Value());
}

Duration
ReadRate::TimeFor(std::uint64_t aTokens) const
{
  return FromMilliseconds(static_cast<double>(aTokens) * mMsPerToken.Value());
}

// Small prompts show the way there and back and the first step, large ones the
// reading. Taken together as tokens in a time, engines that read 42 tokens a ms
// were believed to read 20 on a calm day.
void
ReadRate::Learn(std::uint64_t aTokens, Duration aTook)
{
  const double took = Milliseconds(aTook);
  if (aTokens < kLeastTokens || took <= 0.0) {
    return;
  }
  const double tokens = static_cast<double>(aTokens);
  if (aTokens < kMostOfSmall) {
    mUntilFirstMs.Take(
      std::max(kLeastUntilFirstMs, took - tokens * mMsPerToken.Value()));
  } else if (aTokens >= kLeastOfLarge) {
    mMsPerToken.Take(std::clamp((took - mUntilFirstMs.Value()) / tokens,
                                kLeastMsPerToken,
                                kMostMsPerToken));
  }
}

} // namespace peridotspool::gateway
