// ctest-labels: promise-leaving-upstream unit
#include "routing/RoutingFixture.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

namespace peridotspool::routing {

namespace {

constexpr auto kSecond = std::chrono::seconds(1);

UpstreamAnnouncement
Leaving(const std::string& aName, std::uint64_t aSequence)
{
  UpstreamAnnouncement news = Announcement(aName, aSequence);
  news.mState = UpstreamState::kLeaving;
  return news;
}

} // namespace

TEST_CASE("LeavingUpstreamGetsNoNewWorkAtOnce")
{
  Router router({});
  router.Announce(Announcement("u1"), kStart);
  CHECK(Chosen(router, Query(), kStart) == "u1");
  CHECK(router.Announce(Leaving("u1", 2), kStart));
  CHECK(Chosen(router, Query(), kStart) == "");
  CHECK(router.Find(UpstreamName("u1"), kStart).has_value());
}

// Symptom: an instance that is about to be taken away gets new requests.
// Sequence: it says that it is leaving; an older announcement, or one of the
// same life that was sent by mistake, arrives afterwards.
// Cause: the newest arrival is taken for the newest news.
TEST_CASE("LateOrRepeatedNewsDoesNotReviveALeavingUpstream")
{
  Router router({});
  router.Announce(Leaving("u1", 5), kStart);
  CHECK_FALSE(router.Announce(Announcement("u1", 4), kStart));
  CHECK(Chosen(router, Query(), kStart) == "");
  router.Announce(Announcement("u1", 6), kStart);
  CHECK(Chosen(router, Query(), kStart) == "");
  UpstreamAnnouncement reborn = Announcement("u1", 1);
  reborn.mIncarnation = Incarnation(2);
  CHECK(router.Announce(reborn, kStart));
  CHECK(Chosen(router, Query(), kStart) == "u1");
  CHECK_FALSE(router.Announce(Leaving("u1", 9), kStart));
  CHECK(Chosen(router, Query(), kStart) == "u1");
}

// Symptom: one entry goes on sending work to an upstream that has left.
// Sequence: the upstream announces itself with a long lease, then says that it
// is leaving; that entry misses the second announcement.
// Cause: an entry that trusts an announcement for as long as it says.
TEST_CASE("LostLeavingAnnouncementEndsWithTheLeaseWithinTwoSeconds")
{
  Router router({});
  UpstreamAnnouncement news = Announcement("u1");
  news.mLease = std::chrono::hours(1);
  router.Announce(news, kStart);
  CHECK(Chosen(router, Query(), kStart + kSecond) == "u1");
  const bool ticked = GENERATE(false, true);
  if (ticked) {
    router.Tick(kStart + 2 * kSecond);
  }
  CHECK(Chosen(router, Query(), kStart + 2 * kSecond) == "");
}

TEST_CASE("ExpiredUpstreamIsNotRevivedByItsOldNews")
{
  Router router({});
  router.Announce(Announcement("u1", 7), kStart);
  router.Tick(kStart + 60 * kSecond);
  CHECK_FALSE(router.Announce(Announcement("u1", 7), kStart + 60 * kSecond));
  CHECK(Chosen(router, Query(), kStart + 60 * kSecond) == "");
  CHECK(router.Announce(Announcement("u1", 8), kStart + 60 * kSecond));
  CHECK(Chosen(router, Query(), kStart + 60 * kSecond) == "u1");
}

TEST_CASE("NewsThatWasHeldTooLongOnItsWayHoldsNothing")
{
  Router router({});
  UpstreamAnnouncement news = Announcement("u1");
  news.mLease = Duration(-1);
  router.Announce(news, kStart);
  CHECK(Chosen(router, Query(), kStart) == "");
}

TEST_CASE("NoOrderOfNewsGivesWorkToALeavingUpstream")
{
  rc::prop("lost, doubled and reordered news", [] {
    // What the upstream says, in its order; it leaves at a random point.
    const int count = *rc::gen::inRange(2, 12);
    const int leavesAt = *rc::gen::inRange(1, count);
    std::vector<UpstreamAnnouncement> said;
    for (int at = 0; at < count; ++at) {
      said.push_back(at >= leavesAt ? Leaving("u1", at + 1)
                                    : Announcement("u1", at + 1));
    }
    const auto arrivals =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, count));
    Router router({});
    bool told = false;
    TimePoint lastServing = kStart - std::chrono::hours(1);
    TimePoint now = kStart;
    for (const int arrival : arrivals) {
      now += std::chrono::milliseconds(*rc::gen::inRange(0, 900));
      const auto& news = said[static_cast<std::size_t>(arrival)];
      const bool taken = router.Announce(news, now);
      told = told || news.mState == UpstreamState::kLeaving;
      lastServing = taken ? now : lastServing;
      const std::string chosen = Chosen(router, Query(), now);
      RC_ASSERT(!told || chosen.empty());
      const bool mayServe = !told && now < lastServing + 2 * kSecond;
      RC_ASSERT(mayServe == !chosen.empty());
    }
  });
}

// Symptom: an entry that the leaving announcement never reached goes on.
// Sequence: an upstream announces itself to one entry, which passes it on to
// all; any message may be lost, doubled or late by up to 300 ms. It leaves.
// Cause: leaving that is only told, and not also the end of a lease.
TEST_CASE("NoEntryUsesALeavingUpstreamAfterTwoSecondsWhateverIsLost")
{
  rc::prop("five entries, lossy spreading", [] {
    constexpr int kEntries = 5;
    std::vector<std::unique_ptr<Router>> routers;
    for (int entry = 0; entry < kEntries; ++entry) {
      routers.push_back(std::make_unique<Router>(RouterOptions{}));
    }
    const int leavesAt = *rc::gen::inRange(1, 8);
    struct Arrival
    {
      TimePoint mAt;
      int mEntry;
      UpstreamAnnouncement mNews;
    };
    std::vector<Arrival> arrivals;
    for (int at = 0; at < 14; ++at) {
      const TimePoint said = kStart + std::chrono::milliseconds(500) * at;
      const auto news =
        at >= leavesAt ? Leaving("u1", at + 1) : Announcement("u1", at + 1);
      for (int entry = 0; entry < kEntries; ++entry) {
        const int copies = *rc::gen::inRange(0, 3);
        for (int copy = 0; copy < copies; ++copy) {
          const std::chrono::milliseconds late(*rc::gen::inRange(0, 300));
          arrivals.push_back({ said + late, entry, news });
        }
      }
    }
    std::stable_sort(arrivals.begin(),
                     arrivals.end(),
                     [](const Arrival& aLeft, const Arrival& aRight) {
                       return aLeft.mAt < aRight.mAt;
                     });
    const TimePoint left = kStart + std::chrono::milliseconds(500) * leavesAt;
    // The last serving announcement was said 0.5 s before, and may be late.
    const TimePoint silent = left + 2 * kSecond;
    for (const Arrival& arrival : arrivals) {
      if (arrival.mAt < silent) {
        routers[static_cast<std::size_t>(arrival.mEntry)]->Announce(
          arrival.mNews, arrival.mAt);
      }
    }
    for (const auto& router : routers) {
      RC_ASSERT(Chosen(*router, Query(), silent).empty());
    }
  });
}

} // namespace peridotspool::routing
