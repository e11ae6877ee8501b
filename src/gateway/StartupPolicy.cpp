#include "peridotspool/gateway/StartupPolicy.h"

namespace peridotspool::gateway {

StartupPolicy::StartupPolicy(StartupPolicyOptions aOptions,
                             TimePoint aStartedAt)
  : mOptions(aOptions)
  , mStartedAt(aStartedAt)
{
}

// When all processes are killed at once, entries restart before a leader has
// been elected. A request refused then is retried after its latency objective,
// and may be refused again because there are still no settings, although it
// could have been served half a second later. An entry that has been running
// for longer and has no settings is partitioned from control; waiting would
// only delay its refusals.
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
StartupPolicy::RecordUpdates(std::size_t aReported,
                             std::size_t aTotal,
                             TimePoint aNow)
{
  if (aReported > 0) {
    mFirstUpdateAt = mFirstUpdateAt.value_or(aNow);
  }
  mAllReported = mAllReported || (aTotal > 0 && aReported >= aTotal);
}

// Each control replica reports only the upstreams that are registered with it.
// If the first update were taken as complete, all waiting requests would go to
// the few upstreams in it: with one known upstream, 12 requests within 50 ms
// got their first events after 1.0 to 2.9 s. The other replicas' updates follow
// within a few milliseconds.
bool
StartupPolicy::HasEnoughUpdates(TimePoint aNow) const
{
  return aNow - mStartedAt >= mOptions.mStartupPeriod || mAllReported ||
         (mFirstUpdateAt &&
          aNow - *mFirstUpdateAt >= mOptions.mUpdateCollectionTime);
}

} // namespace peridotspool::gateway
