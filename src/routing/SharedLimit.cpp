#include "peridotspool/routing/SharedLimit.h"

#include <algorithm>
#include <cmath>

namespace peridotspool::routing {

namespace {

/** Time over which demand is averaged. */
constexpr double kDemandMicros = 2e6;
constexpr double kMicrosPerSecond = 1e6;
constexpr std::size_t kMaxParts = 64;

settings::Limits
Least(const settings::Limits& aLeft, const settings::Limits& aRight)
{
  return { .mRatePerSecond =
             std::min(aLeft.mRatePerSecond, aRight.mRatePerSecond),
           .mConcurrency = std::min(aLeft.mConcurrency, aRight.mConcurrency) };
}

} // namespace

SharedLimit::SharedLimit(const settings::Limits& aShare)
  : mInForce(aShare)
  , mParts{ { TimePoint::min(), aShare } }
  , mBucket(aShare.mRatePerSecond)
{
}

void
SharedLimit::SetShare(const settings::Limits& aShare, TimePoint aNow)
{
  // Too many parts for the window: the oldest two count as the lesser.
  if (mParts.size() == kMaxParts) {
    mParts[1].mLimits = Least(mParts[0].mLimits, mParts[1].mLimits);
    mParts.pop_front();
  }
  mParts.push_back({ aNow, aShare });
  Settle(aNow);
}

void
SharedLimit::Settle(TimePoint aNow)
{
  while (mParts.size() > 1 && mParts[1].mSince + kShareSettles <= aNow) {
    mParts.pop_front();
  }
  settings::Limits least = mParts.front().mLimits;
  for (const Part& part : mParts) {
    least = Least(least, part.mLimits);
  }
  if (least != mInForce) {
    mInForce = least;
    mBucket.SetRate(mInForce.mRatePerSecond, aNow);
  }
}

const settings::Limits&
SharedLimit::InForce(TimePoint aNow)
{
  Settle(aNow);
  return mInForce;
}

std::optional<LimitReached>
SharedLimit::Take(TimePoint aNow)
{
  Settle(aNow);
  CountDemand(aNow, 1);
  if (mInUse >= mInForce.mConcurrency) {
    return LimitReached::kConcurrency;
  }
  if (!mBucket.Take(aNow)) {
    return LimitReached::kRate;
  }
  ++mInUse;
  return std::nullopt;
}

void
SharedLimit::Release()
{
  mInUse -= mInUse > 0 ? 1 : 0;
}

Duration
SharedLimit::UntilNext(TimePoint aNow)
{
  return mBucket.UntilNext(aNow);
}

void
SharedLimit::CountDemand(TimePoint aNow, double aAsked)
{
  if (mDemandAt != TimePoint::min()) {
    const auto passed = static_cast<double>((aNow - mDemandAt).count());
    mDemand *= std::exp(-passed / kDemandMicros);
  }
  mDemandAt = aNow;
  mDemand += aAsked * kMicrosPerSecond / kDemandMicros;
}

double
SharedLimit::Demand(TimePoint aNow)
{
  CountDemand(aNow, 0);
  return mDemand;
}

} // namespace peridotspool::routing
