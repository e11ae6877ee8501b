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
  UpstreamAnnouncement announcement = Announcement(aName, aSequence);
  announcement.mState = UpstreamState::kLeaving;
  return announcement;
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

// Guards against sending new requests to an instance that is about to be
// terminated. It happens if the latest arrival counts as the newest state:
// after the upstream has announced that it leaves, an older announcement
// arrives, or one of the same incarnation that was sent by mistake.
TEST_CASE("LateOrRepeatedAnnouncementDoesNotReviveALeavingUpstream")
{
  Router router({});
  router.Announce(Leaving("u1", 5), kStart);
  CHECK_FALSE(router.Announce(Announcement("u1", 4), kStart));
  CHECK(Chosen(router, Query(), kStart) == "");
  router.Announce(Announcement("u1", 6), kStart);
  CHECK(Chosen(router, Query(), kStart) == "");
  UpstreamAnnouncement restarted = Announcement("u1", 1);
  restarted.mIncarnation = Incarnation(2);
  CHECK(router.Announce(restarted, kStart));
  CHECK(Chosen(router, Query(), kStart) == "u1");
  CHECK_FALSE(router.Announce(Leaving("u1", 9), kStart));
  CHECK(Chosen(router, Query(), kStart) == "u1");
}

// Guards against an entry that keeps sending requests to an upstream that has
// left. It happens if an entry trusts an announcement for as long as it states:
// the upstream announced a long lease, and the entry missed the announcement
// that it leaves.
TEST_CASE("LostLeavingAnnouncementEndsWithTheLeaseWithinTwoSeconds")
{
  Router router({});
  UpstreamAnnouncement announcement = Announcement("u1");
  announcement.mLease = std::chrono::hours(1);
  router.Announce(announcement, kStart);
  CHECK(Chosen(router, Query(), kStart + kSecond) == "u1");
  const bool ticked = GENERATE(false, true);
  if (ticked) {
    router.Tick(kStart + 2 * kSecond);
  }
  CHECK(Chosen(router, Query(), kStart + 2 * kSecond) == "");
}

TEST_CASE("ExpiredUpstreamIsNotRevivedByAnOldAnnouncement")
{
  Router router({});
  router.Announce(Announcement("u1", 7), kStart);
  router.Tick(kStart + 60 * kSecond);
  CHECK_FALSE(router.Announce(Announcement("u1", 7), kStart + 60 * kSecond));
  CHECK(Chosen(router, Query(), kStart + 60 * kSecond) == "");
  CHECK(router.Announce(Announcement("u1", 8), kStart + 60 * kSecond));
  CHECK(Chosen(router, Query(), kStart + 60 * kSecond) == "u1");
}

TEST_CASE("AnnouncementWithAnExpiredLeaseIsIgnored")
{
  Router router({});
  UpstreamAnnouncement announcement = Announcement("u1");
  announcement.mLease = Duration(-1);
  router.Announce(announcement, kStart);
  CHECK(Chosen(router, Query(), kStart) == "");
}

TEST_CASE("NoOrderOfAnnouncementsSendsRequestsToALeavingUpstream")
{
  rc::prop("lost, duplicated and reordered announcements", [] {
    // The announcements in the order of sending. From a random one on, the
    // upstream is leaving.
    const int count = *rc::gen::inRange(2, 12);
    const int leavesAt = *rc::gen::inRange(1, count);
    std::vector<UpstreamAnnouncement> sent;
    for (int at = 0; at < count; ++at) {
      sent.push_back(at >= leavesAt ? Leaving("u1", at + 1)
                                    : Announcement("u1", at + 1));
    }
    const auto arrivals =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, count));
    Router router({});
    bool leaveReceived = false;
    TimePoint lastServing = kStart - std::chrono::hours(1);
    TimePoint now = kStart;
    for (const int arrival : arrivals) {
      now += std::chrono::milliseconds(*rc::gen::inRange(0, 900));
      const auto& announcement = sent[static_cast<std::size_t>(arrival)];
      const bool applied = router.Announce(announcement, now);
      leaveReceived =
        leaveReceived || announcement.mState == UpstreamState::kLeaving;
      lastServing = applied ? now : lastServing;
      const std::string chosen = Chosen(router, Query(), now);
      RC_ASSERT(!leaveReceived || chosen.empty());
      const bool mayServe = !leaveReceived && now < lastServing + 2 * kSecond;
      RC_ASSERT(mayServe == !chosen.empty());
    }
  });
}

// Guards against an entry that keeps using an upstream because it never
// received the announcement that it leaves. It happens if the lease does not
// expire as well: an upstream announces itself to one entry, which forwards to
// all, and any message may be lost, duplicated or delayed by up to 300 ms.
TEST_CASE("NoEntryUsesALeavingUpstreamAfterTwoSecondsDespiteLostMessages")
{
  rc::prop("five entries, lossy forwarding", [] {
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
      UpstreamAnnouncement mAnnouncement;
    };
    std::vector<Arrival> arrivals;
    for (int at = 0; at < 14; ++at) {
      const TimePoint sent = kStart + std::chrono::milliseconds(500) * at;
      const auto announcement =
        at >= leavesAt ? Leaving("u1", at + 1) : Announcement("u1", at + 1);
      for (int entry = 0; entry < kEntries; ++entry) {
        const int copies = *rc::gen::inRange(0, 3);
        for (int copy = 0; copy < copies; ++copy) {
          const std::chrono::milliseconds delay(*rc::gen::inRange(0, 300));
          arrivals.push_back({ sent + delay, entry, announcement });
        }
      }
    }
    std::stable_sort(arrivals.begin(),
                     arrivals.end(),
                     [](const Arrival& aLeft, const Arrival& aRight) {
                       return aLeft.mAt < aRight.mAt;
                     });
    const TimePoint left = kStart + std::chrono::milliseconds(500) * leavesAt;
    // The last serving announcement was sent 0.5 s before, and may be delayed.
    const TimePoint leaseEnd = left + 2 * kSecond;
    for (const Arrival& arrival : arrivals) {
      if (arrival.mAt < leaseEnd) {
        routers[static_cast<std::size_t>(arrival.mEntry)]->Announce(
          arrival.mAnnouncement, arrival.mAt);
      }
    }
    for (const auto& router : routers) {
      RC_ASSERT(Chosen(*router, Query(), leaseEnd).empty());
    }
  });
}

} // namespace peridotspool::routing
