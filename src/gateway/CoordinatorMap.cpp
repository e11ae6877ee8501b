#include "peridotspool/gateway/CoordinatorMap.h"

#include <xxhash.h>

#include <cstdint>
#include <string>

namespace peridotspool::gateway {

namespace {

std::uint64_t
WeightOf(const Coordinator& aCoordinator, std::uint64_t aSeed)
{
  const std::string& host = aCoordinator.mAddress.mHost;
  return XXH3_64bits_withSeed(
    host.data(), host.size(), aSeed + aCoordinator.mAddress.mPort);
}

} // namespace

// A coordinator in the failure domain of its upstreams fails and is partitioned
// together with them, so the loss of a domain loses no load state of upstreams
// elsewhere.
std::optional<Address>
CoordinatorMap::CoordinatorOf(const UpstreamName& aUpstream,
                              const FailureDomain& aDomain) const
{
  const std::string& name = aUpstream.Value();
  const std::uint64_t seed = XXH3_64bits(name.data(), name.size());
  const Coordinator* best = nullptr;
  bool bestNear = false;
  std::uint64_t bestWeight = 0;
  for (const Coordinator& coordinator : mCoordinators) {
    const bool near = coordinator.mDomain == aDomain;
    if (bestNear && !near) {
      continue;
    }
    const std::uint64_t weight = WeightOf(coordinator, seed);
    if (best == nullptr || near != bestNear || weight > bestWeight) {
      best = &coordinator;
      bestNear = near;
      bestWeight = weight;
    }
  }
  return best == nullptr ? std::nullopt : std::optional(best->mAddress);
}

} // namespace peridotspool::gateway
