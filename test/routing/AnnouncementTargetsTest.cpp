// ctest-labels: unit
#include "peridotspool/routing/AnnouncementTargets.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

namespace peridotspool::routing {

namespace {

std::vector<MemberId>
Members(std::uint64_t aCount)
{
  std::vector<MemberId> members;
  for (std::uint64_t at = 1; at <= aCount; ++at) {
    members.emplace_back(at);
  }
  return members;
}

} // namespace

TEST_CASE("SmallSystemAnnouncesToEveryEntry")
{
  CHECK(AnnouncementTargets(UpstreamName("u1"), Members(11)) == Members(11));
  CHECK(AnnouncementTargets(UpstreamName("u1"), {}).empty());
}

TEST_CASE("LargeSystemAnnouncesToSixteenEntriesEvenly")
{
  std::map<MemberId, int> counts;
  for (int at = 0; at < 3000; ++at) {
    const auto targets =
      AnnouncementTargets(UpstreamName("u" + std::to_string(at)), Members(380));
    REQUIRE(targets.size() == kMaxAnnouncementTargets);
    for (const MemberId target : targets) {
      ++counts[target];
    }
  }
  CHECK(counts.size() == 380);
  for (const auto& [member, count] : counts) {
    CHECK(count > 60);
    CHECK(count < 200);
  }
}

TEST_CASE("JoiningMemberChangesAtMostOneTarget")
{
  const UpstreamName upstream("u1");
  const auto before = AnnouncementTargets(upstream, Members(100));
  const auto after = AnnouncementTargets(upstream, Members(101));
  std::vector<MemberId> added;
  std::set_difference(after.begin(),
                      after.end(),
                      before.begin(),
                      before.end(),
                      std::back_inserter(added));
  CHECK(added.size() <= 1);
}

} // namespace peridotspool::routing
