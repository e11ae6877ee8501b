#include "peridotspool/gateway/StartupPolicy.h"

namespace peridotspool::gateway {

StartupPolicy::StartupPolicy(StartupPolicyOptions aOptions,
                             TimePoint aStartedAt)
  : mOptions(aOptions)
  , mStartedAt(aStartedAt)
{
}

// When all processes were killed at once they are back before a leader has been
// elected. A request refused then comes back after its latency objective, and
// once more while there are still no settings; half a second later it could
// have been served. An entry that has been up for longer and has no settings is
// cut off, and waiting would only make its refusals late.
std::optional<Duration>
StartupPolicy::RemainingWait(TimePoint aArrivedAt, TimePoint aNow) const
{
  const Duration waited = aNow - aArrivedAt;
  if (aArrivedAt - mStartedAt >= mOptions.mStartupPeriod ||
      waited >= mOptions.mMaxWait) {
    return std::nullopt;
  }
  return mOptions.mMaxWait - waited;
}

void
StartupPolicy::RecordUpdates(std::size_t aHeard,
                             std::size_t aOf,
                             TimePoint aNow)
{
  if (aHeard > 0) {
    mFirstUpdateAt = mFirstUpdateAt.value_or(aNow);
  }
  mAllReported = mAllReported || (aOf > 0 && aHeard >= aOf);
}

// Each replica tells of the upstreams that speak to it alone. A process that
// took the first one's word for all sent what had waited to the one upstream
// that it knew: 12 requests within 50 ms, whose first events came after 1.0 to
// 2.9 s. The others' words are a few milliseconds behind.
bool
StartupPolicy::HasEnoughUpdates(TimePoint aNow) const
{
  return aNow - mStartedAt >= mOptions.mStartupPeriod || mAllReported ||
         (mFirstUpdateAt &&
          aNow - *mFirstUpdateAt >= mOptions.mUpdateCollectionTime);
}

} // namespace peridotspool::gateway
