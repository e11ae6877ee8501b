#include "peridotspool/ledger/Placement.h"

#include "peridotspool/base/Invariant.h"

#include <algorithm>
#include <map>

namespace peridotspool::ledger {

namespace {

struct Candidate
{
  std::uint64_t mScore = 0;
  MemberId mMember;
};

/**
 * Mixes two numbers with the finaliser of SplitMix64. The result is the same in
 * all processes.
 */
std::uint64_t
Score(std::uint64_t aMember, std::uint64_t aShard)
{
  std::uint64_t mixed =
    aMember * 0x9E3779B97F4A7C15ULL + (aShard + 1) * 0xD1B54A32D192ED03ULL;
  mixed = (mixed ^ (mixed >> 30)) * 0xBF58476D1CE4E5B9ULL;
  mixed = (mixed ^ (mixed >> 27)) * 0x94D049BB133111EBULL;
  return mixed ^ (mixed >> 31);
}

/**
 * Groups the members by failure domain, so that a name is looked up once rather
 * than 256 times.
 */
std::vector<std::vector<MemberId>>
ByDomain(const membership::EpochMap& aMap, membership::MemberState aState)
{
  std::map<FailureDomain, std::vector<MemberId>> domains;
  for (const membership::Member& member : aMap.mMembers) {
    if (member.mState == aState) {
      domains[member.mDomain].push_back(member.mId);
    }
  }
  std::vector<std::vector<MemberId>> lists;
  lists.reserve(domains.size());
  for (auto& [name, members] : domains) {
    lists.push_back(std::move(members));
  }
  return lists;
}

Candidate
BestOf(const std::vector<MemberId>& aMembers, std::uint64_t aShard)
{
  Candidate best;
  for (const MemberId member : aMembers) {
    const std::uint64_t score = Score(member.Value(), aShard);
    if (!best.mMember.IsSet() || score > best.mScore) {
      best = { .mScore = score, .mMember = member };
    }
  }
  return best;
}

} // namespace

Placement::Placement(const membership::EpochMap& aMap, std::uint32_t aReplicas)
{
  auto domains = ByDomain(aMap, membership::MemberState::kActive);
  if (domains.empty()) {
    // All members are draining: a draining replica is better than none.
    domains = ByDomain(aMap, membership::MemberState::kDraining);
  }
  std::vector<Candidate> best(domains.size());
  for (std::uint64_t shard = 0; shard < kShardCount; ++shard) {
    for (std::size_t i = 0; i < domains.size(); ++i) {
      best[i] = BestOf(domains[i], shard);
    }
    std::sort(
      best.begin(), best.end(), [](const Candidate& aA, const Candidate& aB) {
        return aA.mScore != aB.mScore ? aA.mScore > aB.mScore
                                      : aA.mMember < aB.mMember;
      });
    const std::size_t count = std::min<std::size_t>(aReplicas, best.size());
    mSets[shard].reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
      mSets[shard].push_back(best[i].mMember);
    }
  }
}

const std::vector<MemberId>&
Placement::ReplicasOf(ShardId aShard) const
{
  PERIDOTSPOOL_INVARIANT(aShard.Value() < mSets.size());
  return mSets[aShard.Value()];
}

MemberId
Placement::PrimaryOf(ShardId aShard) const
{
  const std::vector<MemberId>& set = ReplicasOf(aShard);
  return set.empty() ? MemberId() : set.front();
}

} // namespace peridotspool::ledger
