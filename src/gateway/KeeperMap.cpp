#include "peridotspool/gateway/KeeperMap.h"

#include <xxhash.h>

#include <cstdint>
#include <string>

namespace peridotspool::gateway {

namespace {

std::uint64_t
WeightOf(const Keeper& aKeeper, std::uint64_t aSeed)
{
  const std::string& host = aKeeper.mAddress.mHost;
  return XXH3_64bits_withSeed(
    host.data(), host.size(), aSeed + aKeeper.mAddress.mPort);
}

} // namespace

// A keeper beside its upstreams is taken and cut off together with them, so a
// lost domain costs the others no account.
std::optional<Address>
KeeperMap::KeeperOf(const UpstreamName& aUpstream,
                    const FailureDomain& aDomain) const
{
  const std::string& name = aUpstream.Value();
  const std::uint64_t seed = XXH3_64bits(name.data(), name.size());
  const Keeper* best = nullptr;
  bool bestNear = false;
  std::uint64_t bestWeight = 0;
  for (const Keeper& keeper : mKeepers) {
    const bool near = keeper.mDomain == aDomain;
    if (bestNear && !near) {
      continue;
    }
    const std::uint64_t weight = WeightOf(keeper, seed);
    if (best == nullptr || near != bestNear || weight > bestWeight) {
      best = &keeper;
      bestNear = near;
      bestWeight = weight;
    }
  }
  return best == nullptr ? std::nullopt : std::optional(best->mAddress);
}

} // namespace peridotspool::gateway
