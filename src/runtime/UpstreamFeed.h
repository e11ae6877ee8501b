#pragma once

#include "gateway/GatewayCore.h"
#include "peridotspool/membership/UpstreamDirectory.h"

namespace peridotspool::runtime {

/**
 * Brings what the control replicas say of upstreams to an entry's board. Lives
 * on the relay thread.
 */
class UpstreamFeed
{
public:
  explicit UpstreamFeed(gateway::GatewayCore& aCore)
    : mCore(aCore)
  {
  }

  void Take(const Address& aFrom,
            const membership::RegistryPush& aPush,
            TimePoint aNow);
  /** What to tell a replica: what is known of it. */
  membership::RegistryPull PullFor(const Address& aReplica) const
  {
    return mDirectory.PullFor(aReplica);
  }
  /** Returns true iff the replica has told what it knows. */
  bool Knows(const Address& aReplica) const
  {
    return PullFor(aReplica).mVersion != 0;
  }
  void Forget(TimePoint aNow);

private:
  void Note(const UpstreamName& aName,
            const Address& aFrom,
            const membership::RegistryPush& aPush,
            TimePoint aNow);

  gateway::GatewayCore& mCore;
  membership::UpstreamDirectory mDirectory;
};

} // namespace peridotspool::runtime
