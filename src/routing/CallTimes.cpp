#include "peridotspool/routing/CallTimes.h"

namespace peridotspool::routing {

namespace {

/** Calls behind the mean. */
constexpr int kSamples = 32;

} // namespace

void
CallTimes::Record(const ServiceName& aService, Duration aTook)
{
  const auto [mean, added] = mMeans.try_emplace(aService, aTook);
  if (!added) {
    mean->second += (aTook - mean->second) / kSamples;
  }
}

Duration
CallTimes::Usual(const ServiceName& aService) const
{
  const auto found = mMeans.find(aService);
  return found == mMeans.end() ? Duration(0) : found->second;
}

} // namespace peridotspool::routing
