#include "peridotspool/routing/AnnouncementTargets.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace peridotspool::routing {

std::vector<MemberId>
AnnouncementTargets(const UpstreamName& aUpstream,
                    const std::vector<MemberId>& aMembers)
{
  const std::string& name = aUpstream.Value();
  std::vector<std::pair<std::uint64_t, MemberId>> weights;
  weights.reserve(aMembers.size());
  for (const MemberId member : aMembers) {
    weights.emplace_back(
      XXH3_64bits_withSeed(name.data(), name.size(), member.Value()), member);
  }
  const std::size_t count = std::min(kMaxAnnouncementTargets, weights.size());
  const auto end = weights.begin() + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(weights.begin(), end, weights.end(), std::greater<>());
  std::vector<MemberId> targets;
  for (auto at = weights.begin(); at != end; ++at) {
    targets.push_back(at->second);
  }
  std::sort(targets.begin(), targets.end());
  return targets;
}

} // namespace peridotspool::routing
