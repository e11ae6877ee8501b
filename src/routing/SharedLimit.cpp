#include "peridotspool/routing/SharedLimit.h"

#include <algorithm>
#include <cmath>

namespace peridotspool::routing {

namespace {

/** Time over which demand is averaged. */
constexpr double kDemandMicros = 2e6;
constexpr double kMicrosPerSecond = 1e6;

} // namespace

SharedLimit::SharedLimit(const settings::Limits& aShare)
  : mInForce(aShare)
  , mPending(aShare)
  , mBucket(aShare.mRatePerSecond)
{
}

void
SharedLimit::SetShare(const settings::Limits& aShare, TimePoint aNow)
{
  Settle(aNow);
  if (aShare != mPending) {
    mPending = aShare;
    mPendingSince = aNow;
  }
  mInForce.mRatePerSecond =
    std::min(mInForce.mRatePerSecond, aShare.mRatePerSecond);
  mInForce.mConcurrency = std::min(mInForce.mConcurrency, aShare.mConcurrency);
  mBucket.SetRate(mInForce.mRatePerSecond, aNow);
}

void
SharedLimit::Settle(TimePoint aNow)
{
  if (mInForce != mPending && aNow - mPendingSince >= kShareSettles) {
    mInForce = mPending;
    mBucket.SetRate(mInForce.mRatePerSecond, aNow);
  }
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
