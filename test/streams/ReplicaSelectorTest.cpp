// ctest-labels: unit
#include "peridotspool/streams/ReplicaSelector.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

namespace peridotspool::streams {

namespace {

constexpr int kKeys = 500;
const Region kRegion("r0");

/** Entries that are spread evenly over regions and failure domains. */
std::vector<Replica>
Members(int aCount, int aRegions = 1, int aDomains = 4)
{
  std::vector<Replica> members;
  for (int i = 0; i < aCount; ++i) {
    const std::string region = "r" + std::to_string(i % aRegions);
    const std::string domain =
      region + "d" + std::to_string(i / aRegions % aDomains);
    members.push_back({ .mMember = MemberId(static_cast<std::uint64_t>(i + 1)),
                        .mAddress = { "10.0.0." + std::to_string(i), 7600 },
                        .mRegion = Region(region),
                        .mDomain = FailureDomain(domain) });
  }
  return members;
}

StreamKey
Key(int aNumber)
{
  return StreamKeyOf(CustomerName("c"), std::to_string(aNumber));
}

ReplicaSelector
SelectorOf(const std::vector<Replica>& aMembers)
{
  ReplicaSelector selector;
  selector.SetMembers(aMembers);
  return selector;
}

} // namespace

TEST_CASE("CopiesAreInDifferentFailureDomains")
{
  const int count = GENERATE(4, 9, 300, 1000);
  const ReplicaSelector selector = SelectorOf(Members(count));
  for (int number = 0; number < kKeys; ++number) {
    std::set<FailureDomain> domains;
    for (const Replica& holder : selector.Holders(Key(number), kRegion)) {
      domains.insert(holder.mDomain);
    }
    CHECK(domains.size() == 3);
  }
}

TEST_CASE("WithFewDomainsThereAreStillThreeCopies")
{
  const ReplicaSelector selector = SelectorOf(Members(9, 1, 1));
  CHECK(selector.Holders(Key(1), kRegion).size() == 3);
  CHECK(SelectorOf(Members(2)).Holders(Key(1), kRegion).size() == 2);
  CHECK(ReplicaSelector().Holders(Key(1), kRegion).empty());
}

TEST_CASE("CopiesStayInTheirRegion")
{
  const ReplicaSelector selector = SelectorOf(Members(24, 2));
  for (int number = 0; number < kKeys; ++number) {
    for (const Replica& holder : selector.Holders(Key(number), kRegion)) {
      CHECK(holder.mRegion == kRegion);
    }
  }
}

TEST_CASE("RecordsAreSpreadEvenly")
{
  constexpr int kEntries = 12;
  const ReplicaSelector selector = SelectorOf(Members(kEntries));
  std::map<Address, int> held;
  for (int number = 0; number < 10 * kKeys; ++number) {
    for (const Replica& holder : selector.Holders(Key(number), kRegion)) {
      ++held[holder.mAddress];
    }
  }
  const int mean = 3 * 10 * kKeys / kEntries;
  CHECK(held.size() == kEntries);
  for (const auto& [address, count] : held) {
    CHECK(count < 2 * mean);
    CHECK(count > mean / 2);
  }
}

// Guards against records that nobody finds because the entry that looks for
// them knows other members than the one that wrote them.
TEST_CASE("HoldersAreFoundAfterMembersHaveChanged")
{
  const int count = GENERATE(9, 300);
  const auto before = Members(count);
  auto after = before;
  // A quarter of the entries is gone, and as many have been added.
  after.erase(after.begin(), after.begin() + count / 4);
  auto added = Members(count + count / 4);
  after.insert(after.end(), added.end() - count / 4, added.end());
  const ReplicaSelector writer = SelectorOf(before);
  const ReplicaSelector reader = SelectorOf(after);
  int lost = 0;
  for (int number = 0; number < kKeys; ++number) {
    const auto possible = reader.PossibleHolders(Key(number), kRegion);
    const auto holders = writer.Holders(Key(number), kRegion);
    lost += std::none_of(holders.begin(),
                         holders.end(),
                         [&](const Replica& aHolder) {
                           return std::find(possible.begin(),
                                            possible.end(),
                                            aHolder) != possible.end();
                         })
              ? 1
              : 0;
  }
  CHECK(lost < kKeys / 20);
}

TEST_CASE("AChangeOfMembersMovesFewRecords")
{
  constexpr int kEntries = 300;
  const ReplicaSelector before = SelectorOf(Members(kEntries));
  const ReplicaSelector after = SelectorOf(Members(kEntries + 1));
  int moved = 0;
  for (int number = 0; number < kKeys; ++number) {
    moved += before.Holders(Key(number), kRegion) ==
                 after.Holders(Key(number), kRegion)
               ? 0
               : 1;
  }
  CHECK(moved < kKeys / 20);
}

} // namespace peridotspool::streams
