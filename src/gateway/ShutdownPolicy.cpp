#include "peridotspool/gateway/ShutdownPolicy.h"

namespace peridotspool::gateway {

ShutdownPolicy::ShutdownPolicy(ShutdownPolicyOptions aOptions, TimePoint aNow)
  : mOptions(aOptions)
  , mStopRequestedAt(aNow)
  , mLastBusyAt(aNow)
{
}

// Until the end of the grace period a response may still arrive, or be on its
// way to a caller that reads slowly. Exiting earlier would truncate it
// needlessly.
ShutdownStage
ShutdownPolicy::Step(bool aQuiet, TimePoint aNow)
{
  if (!aQuiet) {
    mLastBusyAt = aNow;
  }
  const Duration since = aNow - mStopRequestedAt;
  const bool done =
    since > mOptions.mMinDuration && aNow - mLastBusyAt >= mOptions.mQuietFor;
  if (done || since >= mOptions.mGrace - mOptions.mReserve) {
    return ShutdownStage::kComplete;
  }
  return since > mOptions.mAcceptFor ? ShutdownStage::kRefusing
                                     : ShutdownStage::kAccepting;
}

bool
ShutdownPolicy::MayAccept(Duration aLongest, TimePoint aNow) const
{
  const Duration since = aNow - mStopRequestedAt;
  return since <= mOptions.mAcceptFor &&
         since + aLongest <= mOptions.mGrace - mOptions.mReserve;
}

} // namespace peridotspool::gateway
