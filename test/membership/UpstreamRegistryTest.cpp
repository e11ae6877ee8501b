// ctest-labels: promise-leaving-upstream
#include "peridotspool/membership/UpstreamRegistry.h"
#include "peridotspool/membership/UpstreamDirectory.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <map>

namespace peridotspool::membership {

namespace {

const Address kEntry{ "127.0.0.1", 9 };
const UpstreamName kName("u");

TimePoint
At(int aMs)
{
  return TimePoint(std::chrono::seconds(1000) + std::chrono::milliseconds(aMs));
}

UpstreamReport
Report(std::uint64_t aSequence, UpstreamStage aStage = UpstreamStage::kReady)
{
  return { .mName = kName,
           .mService = ServiceName("s"),
           .mAddress = { "127.0.0.1", 80 },
           .mStage = aStage,
           .mSequence = aSequence };
}

Address
RegistryAddress(std::uint64_t aIncarnation)
{
  return { "127.0.0.1", static_cast<std::uint16_t>(100 + aIncarnation) };
}

/** A registry, with functions that deliver its pushes to a directory. */
struct RegistryLink
{
  UpstreamRegistry mRegistry;
  Address mAt;

  explicit RegistryLink(std::uint64_t aIncarnation)
    : mRegistry({ .mRegistryIncarnation = RegistryIncarnation(aIncarnation) })
    , mAt(RegistryAddress(aIncarnation))
  {
  }

  void Deliver(UpstreamDirectory& aDirectory,
               const std::vector<RegistrySend>& aSends,
               TimePoint aNow) const
  {
    for (const RegistrySend& send : aSends) {
      aDirectory.ApplyPush(mAt, send.mPush, aNow);
    }
  }
  void Pull(UpstreamDirectory& aDirectory, TimePoint aNow)
  {
    Deliver(aDirectory,
            mRegistry.HandlePull(kEntry, aDirectory.PullFor(mAt), aNow),
            aNow);
  }
};

UpstreamStage
StageOf(const UpstreamDirectory& aDirectory)
{
  const KnownUpstream* known = aDirectory.Find(kName);
  REQUIRE(known != nullptr);
  return known->mReport.mStage;
}

} // namespace

TEST_CASE("SubscriberIsNotifiedImmediatelyOfALeavingUpstream")
{
  RegistryLink one(1);
  UpstreamDirectory directory;
  one.Pull(directory, At(0));
  one.Deliver(
    directory, one.mRegistry.HandleHeartbeat(Report(1), At(10)), At(10));
  CHECK(StageOf(directory) == UpstreamStage::kReady);
  one.Deliver(
    directory,
    one.mRegistry.HandleHeartbeat(Report(2, UpstreamStage::kDraining), At(20)),
    At(20));
  CHECK(StageOf(directory) == UpstreamStage::kDraining);
}

// Guards against new requests to a draining upstream: a heartbeat delayed by a
// partition arrives after the one that reported draining, at the same or
// another replica, and the last one to arrive is treated as the newest.
TEST_CASE("LateHeartbeatDoesNotMakeALeavingUpstreamReady")
{
  RegistryLink one(1);
  RegistryLink two(2);
  UpstreamDirectory directory;
  one.Pull(directory, At(0));
  two.Pull(directory, At(0));
  one.Deliver(
    directory,
    one.mRegistry.HandleHeartbeat(Report(5, UpstreamStage::kDraining), At(1)),
    At(1));
  one.Deliver(
    directory, one.mRegistry.HandleHeartbeat(Report(4), At(2)), At(2));
  two.Deliver(
    directory, two.mRegistry.HandleHeartbeat(Report(4), At(3)), At(3));
  CHECK(StageOf(directory) == UpstreamStage::kDraining);
  two.Deliver(
    directory, two.mRegistry.HandleDeregistration(kName, {}, At(4)), At(4));
  CHECK(StageOf(directory) == UpstreamStage::kGone);
  CHECK(directory.Find(kName)->mReport.mAddress.mPort == 80);
}

// Guards against an entry that continues for seconds to send requests to a
// leaving upstream because the push was lost with its connection and not
// retried.
TEST_CASE("LostPushIsSentAgainUntilItIsConfirmed")
{
  RegistryLink one(1);
  UpstreamDirectory directory;
  one.Pull(directory, At(0));
  one.mRegistry.HandleHeartbeat(Report(1, UpstreamStage::kDraining), At(10));
  CHECK(directory.Find(kName) == nullptr);
  one.Deliver(directory, one.mRegistry.Tick(At(300)), At(300));
  CHECK(StageOf(directory) == UpstreamStage::kDraining);
  one.Pull(directory, At(310));
  CHECK(one.mRegistry.Tick(At(700)).empty());
}

TEST_CASE("RestartOfARegistryRemovesNoUpstreams")
{
  UpstreamDirectory directory;
  RegistryLink before(1);
  before.Pull(directory, At(0));
  before.Deliver(
    directory, before.mRegistry.HandleHeartbeat(Report(3), At(1)), At(1));
  RegistryLink after(2);
  after.mAt = before.mAt;
  after.Pull(directory, At(100));
  CHECK(StageOf(directory) == UpstreamStage::kReady);
  after.Deliver(
    directory, after.mRegistry.HandleHeartbeat(Report(4), At(200)), At(200));
  CHECK(directory.Find(kName)->mReport.mSequence == 4);
}

TEST_CASE("UpstreamIsSilentOnlyIfNoRegistryReceivesItsHeartbeats")
{
  RegistryLink one(1);
  RegistryLink two(2);
  UpstreamDirectory directory;
  one.Pull(directory, At(0));
  two.Pull(directory, At(0));
  one.Deliver(
    directory, one.mRegistry.HandleHeartbeat(Report(1), At(1)), At(1));
  two.Deliver(
    directory, two.mRegistry.HandleHeartbeat(Report(2), At(3000)), At(3000));
  for (int ms = 300; ms <= 9000; ms += 300) {
    one.Pull(directory, At(ms));
    two.Pull(directory, At(ms));
    one.Deliver(directory, one.mRegistry.Tick(At(ms)), At(ms));
    two.Deliver(directory, two.mRegistry.Tick(At(ms)), At(ms));
    CHECK(directory.Find(kName)->mSilent == (ms > 7500));
  }
}

// Guards against an upstream that receives no requests for a minute, or ever,
// after a crash: it restarts under the same name, its sequence numbers start
// again, and a lower number is treated as a late heartbeat of the same
// incarnation.
TEST_CASE("UpstreamThatRestartsUnderItsNameIsReadyImmediately")
{
  RegistryLink one(1);
  RegistryLink two(2);
  UpstreamDirectory directory;
  one.Pull(directory, At(0));
  two.Pull(directory, At(0));
  UpstreamReport before = Report(50, UpstreamStage::kDraining);
  before.mIncarnation = Incarnation(1000);
  one.Deliver(directory, one.mRegistry.HandleHeartbeat(before, At(1)), At(1));
  two.Deliver(directory, two.mRegistry.HandleHeartbeat(before, At(2)), At(2));
  two.Deliver(
    directory,
    two.mRegistry.HandleDeregistration(kName, before.mIncarnation, At(3)),
    At(3));
  UpstreamReport after = Report(1);
  after.mIncarnation = Incarnation(2000);
  after.mAddress.mPort = 81;
  two.Deliver(directory, two.mRegistry.HandleHeartbeat(after, At(20)), At(20));
  CHECK(StageOf(directory) == UpstreamStage::kReady);
  CHECK(directory.Find(kName)->mReport.mAddress.mPort == 81);
  one.Deliver(directory, one.mRegistry.HandleHeartbeat(after, At(40)), At(40));
  CHECK(StageOf(directory) == UpstreamStage::kReady);
}

// Guards against treating a running upstream as gone, or using its previous
// address: a heartbeat or deregistration of an earlier incarnation is delayed
// by a partition, or a partitioned replica still publishes that incarnation,
// and the last report for the name wins.
TEST_CASE("ReportsOfAnEarlierIncarnationDoNotAffectALaterOne")
{
  RegistryLink one(1);
  RegistryLink two(2);
  UpstreamDirectory directory;
  one.Pull(directory, At(0));
  two.Pull(directory, At(0));
  UpstreamReport after = Report(1);
  after.mIncarnation = Incarnation(2000);
  one.Deliver(directory, one.mRegistry.HandleHeartbeat(after, At(1)), At(1));
  UpstreamReport before = Report(90, UpstreamStage::kDraining);
  before.mIncarnation = Incarnation(1000);
  before.mAddress.mPort = 79;
  const auto late = [&](RegistryLink& aLink, int aMs) {
    aLink.Deliver(
      directory, aLink.mRegistry.HandleHeartbeat(before, At(aMs)), At(aMs));
    aLink.Deliver(directory,
                  aLink.mRegistry.HandleDeregistration(
                    kName, before.mIncarnation, At(aMs + 1)),
                  At(aMs + 1));
  };
  late(one, 100);
  late(two, 200);
  CHECK(StageOf(directory) == UpstreamStage::kReady);
  CHECK(directory.Find(kName)->mReport.mAddress.mPort == 80);
  // The replica that knows only the earlier incarnation doesn't receive
  // heartbeats of the current one.
  for (int ms = 300; ms <= 6000; ms += 300) {
    two.Pull(directory, At(ms));
    two.Deliver(directory, two.mRegistry.Tick(At(ms)), At(ms));
    after.mSequence += 1;
    one.mRegistry.HandleHeartbeat(after, At(ms));
  }
  CHECK_FALSE(directory.Find(kName)->mSilent);
  // A deregistration that specifies no incarnation ends the known one.
  one.Deliver(directory,
              one.mRegistry.HandleDeregistration(kName, {}, At(6100)),
              At(6100));
  CHECK(StageOf(directory) == UpstreamStage::kGone);
}

TEST_CASE("EntriesConvergeWhenPushesAreLostOrDuplicated")
{
  rc::prop("lossy", [] {
    RegistryLink one(1);
    UpstreamDirectory directory;
    int ms = 0;
    const auto lossy = [&](const std::vector<RegistrySend>& aSends) {
      const int copies = *rc::gen::inRange(0, 3);
      for (int i = 0; i < copies; ++i) {
        one.Deliver(directory, aSends, At(ms));
      }
    };
    std::uint64_t sequence = 0;
    for (; ms < 3000; ms += 50) {
      lossy(
        one.mRegistry.HandlePull(kEntry, directory.PullFor(one.mAt), At(ms)));
      if (*rc::gen::inRange(0, 4) == 0) {
        UpstreamReport report = Report(++sequence);
        report.mName = UpstreamName(std::to_string(*rc::gen::inRange(0, 5)));
        report.mSlots = static_cast<std::uint32_t>(*rc::gen::inRange(1, 9));
        lossy(one.mRegistry.HandleHeartbeat(report, At(ms)));
      }
      lossy(one.mRegistry.Tick(At(ms)));
    }
    for (int i = 0; i < 3; ++i, ms += 300) {
      one.Pull(directory, At(ms));
    }
    UpstreamDirectory whole;
    one.Pull(whole, At(ms));
    RC_ASSERT(whole.All().size() == directory.All().size());
    for (const auto& [name, known] : whole.All()) {
      // Heartbeats that change only the sequence number are not pushed.
      UpstreamReport received = directory.Find(name)->mReport;
      received.mSequence = known.mReport.mSequence;
      RC_ASSERT(received == known.mReport);
    }
  });
}

// Guards against requests to leaving upstreams, seen 2.7 s after they reported
// that they leave: 100 upstreams leave within 0.1 s at a registry with a slow
// link and 80 subscribers. If each push repeats all unconfirmed changes, 1000
// times the necessary bytes are sent.
TEST_CASE("BurstOfLeavingUpstreamsIsPushedOnceAndBatched")
{
  constexpr int kUpstreams = 100;
  RegistryLink one(1);
  UpstreamDirectory directory;
  one.Pull(directory, At(0));
  std::size_t pushes = 0;
  std::size_t rows = 0;
  const auto send = [&](const std::vector<RegistrySend>& aSends, int aMs) {
    for (const RegistrySend& one : aSends) {
      pushes += one.mTo.size();
      rows += one.mTo.size() * one.mPush.mRows.size();
    }
    one.Deliver(directory, aSends, At(aMs));
  };
  for (int ms = 1; ms <= kUpstreams + 20; ++ms) {
    if (ms <= kUpstreams) {
      UpstreamReport report = Report(1, UpstreamStage::kDraining);
      report.mName = UpstreamName(std::to_string(ms));
      send(one.mRegistry.HandleHeartbeat(report, At(ms)), ms);
    }
    send(one.mRegistry.Tick(At(ms)), ms);
  }
  CHECK(directory.All().size() == kUpstreams);
  CHECK(rows == kUpstreams);
  CHECK(pushes <= kUpstreams / 10 + 5);
}

// Guards against a registry that sends everything unconfirmed again and again
// while confirmations come late: with a thousand subscribers this was ten times
// the changes, and the confirmations came later still.
TEST_CASE("LateConfirmationsDoNotMultiplyPushes")
{
  constexpr std::size_t kChanges = 300;
  const int delayMs = GENERATE(100, 400, 900, 1500);
  UpstreamRegistry registry({ .mRegistryIncarnation = RegistryIncarnation(1),
                              .mSilentAfter = std::chrono::hours(1),
                              .mSpacing = std::chrono::milliseconds(500) });
  UpstreamDirectory directory;
  std::multimap<int, RegistryPull> pulls;
  std::size_t rows = 0;
  const auto deliver = [&](const std::vector<RegistrySend>& aSends, int aMs) {
    for (const RegistrySend& send : aSends) {
      rows += send.mPush.mRows.size();
      directory.ApplyPush(RegistryAddress(1), send.mPush, At(aMs));
      pulls.emplace(aMs + delayMs, directory.PullFor(RegistryAddress(1)));
    }
  };
  deliver(registry.HandlePull(kEntry, {}, At(0)), 0);
  for (int ms = 10; ms <= 33000; ms += 10) {
    if (ms % 100 == 0 && ms <= 30000) {
      UpstreamReport report = Report(1);
      report.mName = UpstreamName(std::to_string(ms));
      deliver(registry.HandleHeartbeat(report, At(ms)), ms);
    }
    const auto [first, last] = pulls.equal_range(ms);
    for (auto pull = first; pull != last; ++pull) {
      deliver(registry.HandlePull(kEntry, pull->second, At(ms)), ms);
    }
    if (ms % 900 == 0) {
      const RegistryPull renewal = directory.PullFor(RegistryAddress(1));
      pulls.emplace(ms + delayMs, renewal);
    }
    deliver(registry.Tick(At(ms)), ms);
  }
  CHECK(directory.All().size() == kChanges);
  INFO(rows << " rows sent for " << kChanges << " changes, confirmed after "
            << delayMs << " ms");
  CHECK(rows <= 2 * kChanges);
}

// Guards against building and encoding each push once for each entry.
TEST_CASE("SubscribersWithTheSameVersionGetOnePush")
{
  RegistryLink one(1);
  for (std::uint16_t entry = 1; entry <= 1000; ++entry) {
    one.mRegistry.HandlePull({ "127.0.0.1", entry }, {}, At(0));
  }
  const auto sends = one.mRegistry.HandleHeartbeat(Report(1), At(1000));
  REQUIRE(sends.size() == 1);
  CHECK(sends[0].mTo.size() == 1000);
}

// Guards against an entry that never receives an upstream's row: one push is
// lost with its connection, and others follow every 0.1 s. Each holds only
// newer changes, and each restarts the timer for sending everything again.
TEST_CASE("LostPushIsSentAgainWhileOthersFollow")
{
  RegistryLink one(1);
  UpstreamDirectory directory;
  one.Pull(directory, At(0));
  one.mRegistry.HandleHeartbeat(Report(1), At(100));
  for (int ms = 200; ms <= 600; ms += 100) {
    UpstreamReport report = Report(1);
    report.mName = UpstreamName(std::to_string(ms));
    one.Deliver(
      directory, one.mRegistry.HandleHeartbeat(report, At(ms)), At(ms));
    one.Pull(directory, At(ms + 1));
  }
  CHECK(directory.Find(kName) != nullptr);
  CHECK(directory.All().size() == 6);
}

// Guards against a replica that spends all its time on pushes and its memory on
// queued ones: 3000 upstreams register within seconds, 300 entries subscribe,
// and the push rate per subscriber doesn't depend on their number.
TEST_CASE("PushRateIsBoundedForManySubscribers")
{
  const auto pushesInASecond = [](int aSubscribers) {
    UpstreamRegistry registry(
      { .mRegistryIncarnation = RegistryIncarnation(1) });
    std::size_t pushes = 0;
    for (int ms = 1; ms <= 1000; ++ms) {
      if (ms % 300 == 1) {
        for (int i = 0; i < aSubscribers; ++i) {
          const Address entry{ "127.0.0.1",
                               static_cast<std::uint16_t>(1000 + i) };
          registry.HandlePull(entry,
                              { .mRegistryIncarnation = RegistryIncarnation(1),
                                .mVersion = registry.Version() },
                              At(ms));
        }
      }
      UpstreamReport report = Report(1);
      report.mName = UpstreamName(std::to_string(ms));
      pushes += registry.HandleHeartbeat(report, At(ms)).size();
      pushes += registry.Tick(At(ms)).size();
    }
    return pushes;
  };
  const std::size_t few = pushesInASecond(20);
  const std::size_t many = pushesInASecond(300);
  INFO(few << " to 20, " << many << " to 300 subscribers");
  CHECK(few <= 20 * 105);
  CHECK(many <= 300 * 14);
}

// Guards against a registry that sends all rows again for each pull of a
// subscriber that starts, before the first ones can have arrived: with hundreds
// of subscribers the repetitions fill its link, and arrive the later.
TEST_CASE("RowsOnTheirWayToAStartingSubscriberAreNotSentForEachPull")
{
  RegistryLink one(1);
  one.mRegistry.HandleHeartbeat(Report(1), At(0));
  UpstreamDirectory directory;
  int pushes = 0;
  for (int ms = 0; ms < 900; ms += 10) {
    if (ms % 150 == 0) {
      pushes += static_cast<int>(
        one.mRegistry.HandlePull(kEntry, directory.PullFor(one.mAt), At(ms))
          .size());
    }
    pushes += static_cast<int>(one.mRegistry.Tick(At(ms)).size());
  }
  INFO("expected the first push, and repetitions after 250 ms and 500 ms more");
  CHECK(pushes == 3);
}

TEST_CASE("ARestartedSubscriberGetsAllRowsAtOnce")
{
  RegistryLink one(1);
  UpstreamDirectory before;
  one.mRegistry.HandleHeartbeat(Report(1), At(0));
  one.Pull(before, At(0));
  one.Pull(before, At(10));
  UpstreamDirectory after;
  one.Pull(after, At(20));
  CHECK(StageOf(after) == UpstreamStage::kReady);
}

} // namespace peridotspool::membership
