// ctest-labels: promise-leaving-upstream unit
#include "peridotspool/membership/EntryDirectory.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace peridotspool::membership {

namespace {

Member
MakeMember(std::uint64_t aId, const std::string& aDomain)
{
  Member member;
  member.mId = MemberId(aId);
  member.mRegion = Region("attica");
  member.mDomain = FailureDomain(aDomain);
  member.mCallerAddress = { "10.0.0." + std::to_string(aId), 8080 };
  return member;
}

EpochMap
EightMembers()
{
  EpochMap map{ EpochNumber(1), {} };
  for (std::uint64_t id = 1; id <= 8; ++id) {
    map.mMembers.push_back(MakeMember(id, id % 2 == 0 ? "north" : "south"));
  }
  return map;
}

bool
Contains(const DirectoryResponse& aResponse, const Member& aMember)
{
  return std::find(aResponse.mAddresses.begin(),
                   aResponse.mAddresses.end(),
                   aMember.mCallerAddress) != aResponse.mAddresses.end();
}

} // namespace

TEST_CASE("LeavingAndSuspectedEntriesAreLeftOut")
{
  EntryDirectory directory({});
  EpochMap map = EightMembers();
  map.mMembers[0].mState = MemberState::kDraining;
  directory.SetEpoch(map);
  directory.MarkLeaving(MemberId(2));
  directory.SetSuspects({ MemberId(3) });
  const DirectoryResponse response = directory.MakeResponse(Region("attica"));
  CHECK(response.mAddresses.size() == 5);
  for (std::size_t at = 0; at < 3; ++at) {
    CHECK_FALSE(Contains(response, map.mMembers[at]));
  }
}

TEST_CASE("ResponseIsNotEmptyIfAllEntriesAreSuspected")
{
  EntryDirectory directory({});
  const EpochMap map = EightMembers();
  directory.SetEpoch(map);
  std::set<MemberId> all;
  for (const Member& member : map.mMembers) {
    all.insert(member.mId);
  }
  directory.SetSuspects(all);
  CHECK(directory.MakeResponse(Region("attica")).mAddresses.size() == 8);
}

TEST_CASE("ResponsesExpireBeforeAReclaimNotice")
{
  EntryDirectory directory({ .mMinReclaimNotice = std::chrono::seconds(30) });
  directory.SetEpoch(EightMembers());
  CHECK(directory.MakeResponse(Region("attica")).mMaxAge <
        std::chrono::seconds(15));
}

TEST_CASE("CallersAreDistributedByWeight")
{
  EntryDirectory directory({ .mMaxEntries = 4 });
  const EpochMap map = EightMembers();
  directory.SetEpoch(map);
  directory.SetEntryWeight(MemberId(1), 3.0);
  int first = 0;
  constexpr int kCallers = 10000;
  for (int caller = 0; caller < kCallers; ++caller) {
    const DirectoryResponse response = directory.MakeResponse(Region("attica"));
    REQUIRE(response.mAddresses.size() == 4);
    first += response.mAddresses[0] == map.mMembers[0].mCallerAddress ? 1 : 0;
  }
  // The entry has a weight of 3 out of 10.
  CHECK(first > kCallers * 27 / 100);
  CHECK(first < kCallers * 33 / 100);
}

TEST_CASE("OlderEpochDoesNotReplaceANewerOne")
{
  EntryDirectory directory({});
  EpochMap newer = EightMembers();
  newer.mEpoch = EpochNumber(2);
  newer.mMembers.pop_back();
  directory.SetEpoch(newer);
  directory.SetEpoch(EightMembers());
  CHECK(directory.MakeResponse(Region("attica")).mEpoch == EpochNumber(2));
  CHECK(directory.MakeResponse(Region("attica")).mAddresses.size() == 7);
}

} // namespace peridotspool::membership
