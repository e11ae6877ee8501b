#include "peridotspool/streams/ReplicaSelector.h"

#include <xxhash.h>

#include <algorithm>
#include <functional>
#include <string>
#include <utility>

namespace peridotspool::streams {

namespace {

constexpr std::size_t kCopies = 3;
constexpr std::size_t kQueriedDomains = 4;
constexpr std::size_t kMaxQueried = 8;

std::uint64_t
SeedOf(const std::string& aText, std::uint64_t aSeed = 0)
{
  return XXH3_64bits_withSeed(aText.data(), aText.size(), aSeed);
}

std::uint64_t
WeightOf(std::uint64_t aSeed, const StreamKey& aKey)
{
  return XXH3_64bits_withSeed(&aKey, sizeof aKey, aSeed);
}

} // namespace

void
ReplicaSelector::SetMembers(const std::vector<Replica>& aMembers)
{
  mRegions.clear();
  for (const Replica& member : aMembers) {
    mRegions[member.mRegion][member.mDomain].push_back(
      { .mSeed = SeedOf(member.mAddress.mHost, member.mAddress.mPort),
        .mReplica = member });
  }
}

std::vector<Region>
ReplicaSelector::Regions() const
{
  std::vector<Region> regions;
  for (const auto& [region, domains] : mRegions) {
    regions.push_back(region);
  }
  return regions;
}

std::vector<Replica>
ReplicaSelector::Holders(const StreamKey& aKey, const Region& aRegion) const
{
  return Select(aKey, aRegion, kCopies, kCopies);
}

std::vector<Replica>
ReplicaSelector::PossibleHolders(const StreamKey& aKey,
                                 const Region& aRegion) const
{
  return Select(aKey, aRegion, kQueriedDomains, kMaxQueried);
}

// Takes the first entry of each domain, then the second of each, and so on, so
// that copies are spread over as many failure domains as possible.
std::vector<Replica>
ReplicaSelector::Select(const StreamKey& aKey,
                        const Region& aRegion,
                        std::size_t aMaxDomains,
                        std::size_t aCount) const
{
  std::vector<Replica> selected;
  const auto region = mRegions.find(aRegion);
  if (region == mRegions.end()) {
    return selected;
  }
  using Weighted = std::pair<std::uint64_t, const Replica*>;
  using WeightedDomain =
    std::pair<std::uint64_t, const std::vector<WeightedReplica>*>;
  std::vector<WeightedDomain> domains;
  for (const auto& [domain, replicas] : region->second) {
    domains.emplace_back(WeightOf(SeedOf(domain.Value()), aKey), &replicas);
  }
  std::sort(domains.begin(), domains.end(), std::greater<>());
  domains.resize(std::min(domains.size(), aMaxDomains));
  std::vector<std::vector<Weighted>> ordered;
  std::size_t rounds = 0;
  for (const auto& [weight, replicas] : domains) {
    std::vector<Weighted>& order = ordered.emplace_back();
    for (const WeightedReplica& one : *replicas) {
      order.emplace_back(WeightOf(one.mSeed, aKey), &one.mReplica);
    }
    const std::size_t needed = std::min(order.size(), aCount);
    std::partial_sort(order.begin(),
                      order.begin() + static_cast<std::ptrdiff_t>(needed),
                      order.end(),
                      std::greater<>());
    rounds = std::max(rounds, needed);
  }
  for (std::size_t round = 0; round < rounds; ++round) {
    for (const auto& order : ordered) {
      if (round < order.size() && selected.size() < aCount) {
        selected.push_back(*order[round].second);
      }
    }
  }
  return selected;
}

} // namespace peridotspool::streams
