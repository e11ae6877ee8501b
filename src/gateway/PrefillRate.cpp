#include "peridotspool/gateway/PrefillRate.h"

#include <algorithm>

namespace peridotspool::gateway {

namespace {

/** Fewer are read of prompts that are kept whole, if at all. */
constexpr std::uint64_t kMinTokens = 100;
/** Below it the way to the first event counts more than the reading. */
constexpr std::uint64_t kSmallPromptLimit = 1500;
/** From here on the reading counts more. */
constexpr std::uint64_t kLargePromptLimit = 3000;
constexpr double kMinMsPerToken = 0.0001;
constexpr double kMaxMsPerToken = 1.0;
constexpr double kMinFirstEventOverheadMs = 0.1;

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
PrefillRate::FirstEventOverhead() const
{
  return FromMilliseconds(mFirstEventOverheadMs.Value());
}

Duration
PrefillRate::PrefillTime(std::uint64_t aTokens) const
{
  return FromMilliseconds(static_cast<double>(aTokens) * mMsPerToken.Value());
}

// Small prompts show the way there and back and the first step, large ones the
// reading. Taken together as tokens in a time, engines that read 42 tokens a ms
// were believed to read 20 on a calm day.
void
PrefillRate::AddSample(std::uint64_t aTokens, Duration aTook)
{
  const double took = Milliseconds(aTook);
  if (aTokens < kMinTokens || took <= 0.0) {
    return;
  }
  const double tokens = static_cast<double>(aTokens);
  if (aTokens < kSmallPromptLimit) {
    mFirstEventOverheadMs.AddSample(
      std::max(kMinFirstEventOverheadMs, took - tokens * mMsPerToken.Value()));
  } else if (aTokens >= kLargePromptLimit) {
    mMsPerToken.AddSample(
      std::clamp((took - mFirstEventOverheadMs.Value()) / tokens,
                 kMinMsPerToken,
                 kMaxMsPerToken));
  }
}

} // namespace peridotspool::gateway
