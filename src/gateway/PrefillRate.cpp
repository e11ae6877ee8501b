#include "peridotspool/gateway/PrefillRate.h"

#include <algorithm>

namespace peridotspool::gateway {

namespace {

/**
 * A request with fewer tokens to prefill is skipped: its prompt is cached, and
 * it shows next to nothing of the prefill rate.
 */
constexpr std::uint64_t kMinTokens = 100;
/** Below this number of tokens, the overhead outweighs the prefill. */
constexpr std::uint64_t kSmallPromptLimit = 1500;
/** From this number of tokens on, the prefill outweighs the overhead. */
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

// Small prompts show the overhead (the round trip and the first step), large
// ones the prefill rate. With both combined into tokens per time to the first
// event, engines that prefill 42 tokens per ms were estimated at 20 under
// moderate load.
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
