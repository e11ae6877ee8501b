#include "peridotspool/control/ConsensusOptions.h"

namespace peridotspool::control {

Duration
ConsensusOptions::LeaseDuration() const
{
  // The leader's clock may be slow and the follower's fast, each by the rate
  // bound.
  const double share = (1.0 - mClockRateBound) / (1.0 + mClockRateBound);
  return Duration(static_cast<Duration::rep>(
    static_cast<double>(mElectionTimeout.count()) * share));
}

} // namespace peridotspool::control
