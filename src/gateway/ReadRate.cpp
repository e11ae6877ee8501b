#include "peridotspool/gateway/ReadRate.h"

#include <algorithm>

namespace peridotspool::gateway {

namespace {

/** Below it the way there and back counts more than the reading. */
constexpr std::uint64_t kLeastTokens = 1500;
constexpr double kPart = 0.1;
constexpr double kSlowest = 1.0;
constexpr double kFastest = 10000.0;

double
Milliseconds(Duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

} // namespace

Duration
ReadRate::TimeFor(std::uint64_t aTokens) const
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double, std::milli>(static_cast<double>(aTokens) /
                                              mTokensPerMs));
}

void
ReadRate::Learn(std::uint64_t aTokens, Duration aTook)
{
  if (aTokens < kLeastTokens || aTook <= Duration(0)) {
    return;
  }
  const double sample = static_cast<double>(aTokens) / Milliseconds(aTook);
  mTokensPerMs +=
    kPart * (std::clamp(sample, kSlowest, kFastest) - mTokensPerMs);
}

} // namespace peridotspool::gateway
