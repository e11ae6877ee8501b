// ctest-labels: unit
#include "peridotspool/ledger/Placement.h"

#include <catch2/catch.hpp>

#include <map>
#include <set>

namespace peridotspool::ledger {

namespace {

membership::EpochMap
MapOf(std::uint64_t aMembers, std::uint64_t aDomains)
{
  membership::EpochMap map;
  map.mEpoch = EpochNumber(1);
  for (std::uint64_t i = 1; i <= aMembers; ++i) {
    membership::Member member;
    member.mId = MemberId(i);
    member.mDomain = FailureDomain("domain-" + std::to_string(i % aDomains));
    map.mMembers.push_back(member);
  }
  return map;
}

} // namespace

TEST_CASE("PlacesReplicasInDifferentFailureDomains")
{
  const membership::EpochMap map = MapOf(11, 4);
  const Placement placement(map, 3);
  std::map<MemberId, int> primaries;
  for (std::uint64_t shard = 0; shard < kShardCount; ++shard) {
    std::set<FailureDomain> domains;
    for (const MemberId member : placement.ReplicasOf(ShardId(shard))) {
      domains.insert(map.mMembers[member.Value() - 1].mDomain);
    }
    CHECK(domains.size() == 3);
    ++primaries[placement.PrimaryOf(ShardId(shard))];
  }
  CHECK(primaries.size() == 11);
}

TEST_CASE("PlacesFewerReplicasWithFewerDomains")
{
  const Placement placement(MapOf(5, 2), 3);
  CHECK(placement.ReplicasOf(ShardId(9)).size() == 2);
  CHECK(Placement(MapOf(1, 1), 3).ReplicasOf(ShardId(9)).size() == 1);
  CHECK_FALSE(
    Placement(membership::EpochMap(), 3).PrimaryOf(ShardId(9)).IsSet());
}

TEST_CASE("LeavesOutDrainingMembersUnlessThereAreNoOthers")
{
  membership::EpochMap map = MapOf(4, 4);
  map.mMembers[0].mState = membership::MemberState::kDraining;
  const Placement placement(map, 4);
  CHECK(placement.ReplicasOf(ShardId(3)).size() == 3);
  for (membership::Member& member : map.mMembers) {
    member.mState = membership::MemberState::kDraining;
  }
  CHECK(Placement(map, 4).ReplicasOf(ShardId(3)).size() == 4);
}

TEST_CASE("AJoinMovesOnlyShardsAssignedToTheNewMember")
{
  const Placement before(MapOf(11, 4), 3);
  const Placement after(MapOf(12, 4), 3);
  for (std::uint64_t shard = 0; shard < kShardCount; ++shard) {
    const auto& left = before.ReplicasOf(ShardId(shard));
    const auto& right = after.ReplicasOf(ShardId(shard));
    const bool takes =
      std::find(right.begin(), right.end(), MemberId(12)) != right.end();
    CHECK((takes || left == right));
  }
}

} // namespace peridotspool::ledger
