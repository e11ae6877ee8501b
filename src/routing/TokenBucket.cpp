#include "peridotspool/routing/TokenBucket.h"

#include <algorithm>
#include <cmath>

namespace peridotspool::routing {

namespace {

constexpr double kMicrosPerSecond = 1e6;
constexpr Duration kNever = std::chrono::hours(24);

} // namespace

TokenBucket::TokenBucket(double aRatePerSecond)
  : mRate(aRatePerSecond)
  , mTokens(Burst())
{
}

double
TokenBucket::Burst() const
{
  return mRate > 0 ? std::max(1.0, mRate) : 0;
}

void
TokenBucket::Fill(TimePoint aNow)
{
  if (mFilledAt != TimePoint::min()) {
    const auto passed = static_cast<double>((aNow - mFilledAt).count());
    mTokens = std::min(Burst(), mTokens + passed * mRate / kMicrosPerSecond);
  }
  mFilledAt = aNow;
}

void
TokenBucket::SetRate(double aRatePerSecond, TimePoint aNow)
{
  Fill(aNow);
  mRate = aRatePerSecond;
  mTokens = std::min(mTokens, Burst());
}

bool
TokenBucket::Take(TimePoint aNow)
{
  Fill(aNow);
  if (mTokens < 1) {
    return false;
  }
  mTokens -= 1;
  return true;
}

Duration
TokenBucket::UntilNext(TimePoint aNow)
{
  Fill(aNow);
  if (mTokens >= 1) {
    return Duration(0);
  }
  if (mRate <= 0) {
    return kNever;
  }
  const double wait = std::ceil((1 - mTokens) / mRate * kMicrosPerSecond);
  return std::min(kNever, Duration(static_cast<Duration::rep>(wait)));
}

} // namespace peridotspool::routing
