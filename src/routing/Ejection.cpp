#include "routing/Ejection.h"

#include <algorithm>

namespace peridotspool::routing {

bool
Ejection::OnFailure(const EjectionOptions& aOptions)
{
  ++mFailures;
  return mFailures >= aOptions.mFailuresInRow;
}

bool
Ejection::OnCompleted(Duration aDuration,
                      Duration aServiceMean,
                      const EjectionOptions& aOptions)
{
  mFailures = 0;
  const auto slow =
    std::chrono::duration_cast<Duration>(aServiceMean * aOptions.mSlowFactor);
  mSlow = aServiceMean.count() > 0 && aDuration > slow ? mSlow + 1 : 0;
  return mSlow >= aOptions.mSlowSamples;
}

void
Ejection::Eject(const EjectionOptions& aOptions, TimePoint aNow)
{
  const bool soon =
    mLastTime.count() > 0 && aNow - mLastEjected < aOptions.mResetAfter;
  mLastTime =
    soon ? std::min(mLastTime * 2, aOptions.mMaxTime) : aOptions.mInitialTime;
  mLastEjected = aNow;
  mUntil = aNow + mLastTime;
  mEjected = true;
}

void
Ejection::Readmit(const EjectionOptions& aOptions)
{
  mEjected = false;
  mSlow = 0;
  mFailures = aOptions.mFailuresInRow > 0 ? aOptions.mFailuresInRow - 1 : 0;
}

} // namespace peridotspool::routing
