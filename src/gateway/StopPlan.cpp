#include "peridotspool/gateway/StopPlan.h"

namespace peridotspool::gateway {

StopPlan::StopPlan(StopPlanOptions aOptions, TimePoint aNow)
  : mOptions(aOptions)
  , mToldAt(aNow)
  , mBusyAt(aNow)
{
}

// An answer may come, or still be on its way to a caller that reads slowly,
// until the very end of the grace: an earlier end would cut it for nothing.
StopStage
StopPlan::Step(bool aQuiet, TimePoint aNow)
{
  if (!aQuiet) {
    mBusyAt = aNow;
  }
  const Duration since = aNow - mToldAt;
  const bool done =
    since > mOptions.mLeast && aNow - mBusyAt >= mOptions.mQuietFor;
  if (done || since >= mOptions.mGrace - mOptions.mReserve) {
    return StopStage::kOver;
  }
  return since > mOptions.mTakeOn ? StopStage::kRefuses
                                  : StopStage::kTakesRequests;
}

bool
StopPlan::MayTake(Duration aLongest, TimePoint aNow) const
{
  const Duration since = aNow - mToldAt;
  return since <= mOptions.mTakeOn &&
         since + aLongest <= mOptions.mGrace - mOptions.mReserve;
}

} // namespace peridotspool::gateway
