#include "peridotspool/limits/PermitBucket.h"

#include <algorithm>
#include <cstddef>

namespace peridotspool::limits {

namespace {

/** Permits of this much time accumulate while nobody asks for them. */
constexpr double kBurstSeconds = 0.25;

double
Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

PermitBucket::PermitBucket(double aPerSecond, TimePoint aNow)
  : mPerSecond(aPerSecond)
  , mAdvancedAt(aNow)
{
}

double
PermitBucket::Burst(double aPerSecond)
{
  return std::max(1.0, kBurstSeconds * aPerSecond);
}

double
PermitBucket::PermitsAt(TimePoint aNow) const
{
  const Duration passed = std::max(Duration(0), aNow - mAdvancedAt);
  return std::min(Burst(mPerSecond), mPermits + mPerSecond * Seconds(passed));
}

void
PermitBucket::Advance(TimePoint aNow)
{
  mPermits = PermitsAt(aNow);
  mAdvancedAt = std::max(mAdvancedAt, aNow);
}

void
PermitBucket::Clear(TimePoint aNow)
{
  Advance(aNow);
  mPermits = std::min(mPermits, 0.0);
}

void
PermitBucket::SetRate(double aPerSecond, TimePoint aNow)
{
  Advance(aNow);
  mPerSecond = aPerSecond;
  mPermits = std::min(mPermits, Burst(mPerSecond));
}

bool
PermitBucket::TryTake(TimePoint aNow)
{
  Advance(aNow);
  if (mPermits < 1.0) {
    return false;
  }
  mPermits -= 1.0;
  return true;
}

// The debt is bounded, so that many entries that send before they learn of the
// limit don't keep the upstream idle afterwards.
void
PermitBucket::Charge(TimePoint aNow)
{
  Advance(aNow);
  mPermits = std::max(mPermits - 1.0, std::min(mPermits, -Burst(mPerSecond)));
}

// Without the deduction, permits that are taken and put back in turns would add
// to those that accumulate meanwhile.
void
PermitBucket::PutBack(TimePoint aTakenAt, TimePoint aNow)
{
  Advance(aNow);
  const double accumulated =
    mPerSecond * Seconds(std::max(Duration(0), aNow - aTakenAt));
  mPermits =
    std::min(mPermits + std::max(0.0, 1.0 - accumulated), Burst(mPerSecond));
}

Duration
PermitBucket::Wait(std::size_t aAhead, TimePoint aNow) const
{
  const double missing = static_cast<double>(aAhead) + 1.0 - PermitsAt(aNow);
  if (missing <= 0.0) {
    return Duration(0);
  }
  return std::chrono::ceil<Duration>(
    std::chrono::duration<double>(missing / mPerSecond));
}

} // namespace peridotspool::limits
