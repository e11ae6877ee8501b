#include "peridotspool/routing/SharedLimit.h"

#include <algorithm>
#include <cmath>

namespace peridotspool::routing {

namespace {

/** Time constant of the demand's moving average. */
constexpr double kDemandMicros = 2e6;
constexpr double kMicrosPerSecond = 1e6;
constexpr std::size_t kMaxShares = 64;

settings::Limits
Min(const settings::Limits& aLeft, const settings::Limits& aRight)
{
  return { .mRatePerSecond =
             std::min(aLeft.mRatePerSecond, aRight.mRatePerSecond),
           .mConcurrency = std::min(aLeft.mConcurrency, aRight.mConcurrency) };
}

} // namespace

SharedLimit::SharedLimit(const settings::Limits& aShare)
  : mInForce(aShare)
  , mShares{ { TimePoint::min(), aShare } }
  , mBucket(aShare.mRatePerSecond)
{
}

void
SharedLimit::SetShare(const settings::Limits& aShare, TimePoint aNow)
{
  // Too many shares for the window: merge the oldest two into the lower one.
  if (mShares.size() == kMaxShares) {
    mShares[1].mLimits = Min(mShares[0].mLimits, mShares[1].mLimits);
    mShares.pop_front();
  }
  mShares.push_back({ aNow, aShare });
  UpdateInForce(aNow);
}

void
SharedLimit::UpdateInForce(TimePoint aNow)
{
  while (mShares.size() > 1 && mShares[1].mSince + kShareSettleTime <= aNow) {
    mShares.pop_front();
  }
  settings::Limits lowest = mShares.front().mLimits;
  for (const Share& share : mShares) {
    lowest = Min(lowest, share.mLimits);
  }
  if (lowest != mInForce) {
    mInForce = lowest;
    mBucket.SetRate(mInForce.mRatePerSecond, aNow);
  }
}

const settings::Limits&
SharedLimit::InForce(TimePoint aNow)
{
  UpdateInForce(aNow);
  return mInForce;
}

std::optional<LimitReached>
SharedLimit::TryAcquire(TimePoint aNow)
{
  UpdateInForce(aNow);
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
SharedLimit::CountDemand(TimePoint aNow, double aRequests)
{
  if (mDemandAt != TimePoint::min()) {
    const auto passed = static_cast<double>((aNow - mDemandAt).count());
    mDemand *= std::exp(-passed / kDemandMicros);
  }
  mDemandAt = aNow;
  mDemand += aRequests * kMicrosPerSecond / kDemandMicros;
}

double
SharedLimit::Demand(TimePoint aNow)
{
  CountDemand(aNow, 0);
  return mDemand;
}

} // namespace peridotspool::routing
