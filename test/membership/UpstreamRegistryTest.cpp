// ctest-labels: promise-leaving-upstream
#include "peridotspool/membership/UpstreamRegistry.h"
#include "peridotspool/membership/UpstreamDirectory.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

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
RegistryAddress(std::uint64_t aLife)
{
  return { "127.0.0.1", static_cast<std::uint16_t>(100 + aLife) };
}

/** A registry, and an entry that hears what it sends unless it is lost. */
struct Pair
{
  UpstreamRegistry mRegistry;
  Address mAt;

  explicit Pair(std::uint64_t aLife)
    : mRegistry({ .mRegistryIncarnation = RegistryIncarnation(aLife) })
    , mAt(RegistryAddress(aLife))
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

TEST_CASE("ASubscriberIsToldOfALeavingUpstreamAtOnce")
{
  Pair one(1);
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

// Symptom: an upstream that had said that it drains was sent work again.
// Sequence: a heartbeat that was delayed by a cut came after the one that said
// so, at the same replica or at another one.
// Cause: the last to come was taken for the newest.
TEST_CASE("ALateHeartbeatBringsNoLeavingUpstreamBack")
{
  Pair one(1);
  Pair two(2);
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

// Symptom: one entry went on sending to a leaving upstream for seconds.
// Sequence: the push that told it was lost with its connection.
// Cause: a push was sent once.
TEST_CASE("APushThatWasLostIsSentAgainUntilItIsConfirmed")
{
  Pair one(1);
  UpstreamDirectory directory;
  one.Pull(directory, At(0));
  one.mRegistry.HandleHeartbeat(Report(1, UpstreamStage::kDraining), At(10));
  CHECK(directory.Find(kName) == nullptr);
  one.Deliver(directory, one.mRegistry.Tick(At(300)), At(300));
  CHECK(StageOf(directory) == UpstreamStage::kDraining);
  one.Pull(directory, At(310));
  CHECK(one.mRegistry.Tick(At(700)).empty());
}

TEST_CASE("ARegistryThatRestartedTakesNothingAway")
{
  UpstreamDirectory directory;
  Pair before(1);
  before.Pull(directory, At(0));
  before.Deliver(
    directory, before.mRegistry.HandleHeartbeat(Report(3), At(1)), At(1));
  Pair after(2);
  after.mAt = before.mAt;
  after.Pull(directory, At(100));
  CHECK(StageOf(directory) == UpstreamStage::kReady);
  after.Deliver(
    directory, after.mRegistry.HandleHeartbeat(Report(4), At(200)), At(200));
  CHECK(directory.Find(kName)->mReport.mSequence == 4);
}

TEST_CASE("AnUpstreamIsSilentOnlyWhenNoRegistryHearsIt")
{
  Pair one(1);
  Pair two(2);
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

// Symptom: an upstream that had crashed and come back was sent nothing for a
// minute, or was taken for gone for ever.
// Sequence: it starts again under its name and counts its heartbeats anew.
// Cause: a lower number was taken for a late heartbeat of the same life.
TEST_CASE("AnUpstreamThatRestartsUnderItsNameIsKnownAnewAtOnce")
{
  Pair one(1);
  Pair two(2);
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

// Symptom: a running upstream was given up, or sent to an address of before.
// Sequence: a heartbeat or a goodbye of its earlier life was held up by a cut,
// or a replica that was cut off still tells what it heard of that life.
// Cause: whoever spoke last spoke for the name.
TEST_CASE("AnEarlierLifeNeverSpeaksForALaterOne")
{
  Pair one(1);
  Pair two(2);
  UpstreamDirectory directory;
  one.Pull(directory, At(0));
  two.Pull(directory, At(0));
  UpstreamReport after = Report(1);
  after.mIncarnation = Incarnation(2000);
  one.Deliver(directory, one.mRegistry.HandleHeartbeat(after, At(1)), At(1));
  UpstreamReport before = Report(90, UpstreamStage::kDraining);
  before.mIncarnation = Incarnation(1000);
  before.mAddress.mPort = 79;
  const auto late = [&](Pair& aPair, int aMs) {
    aPair.Deliver(
      directory, aPair.mRegistry.HandleHeartbeat(before, At(aMs)), At(aMs));
    aPair.Deliver(directory,
                  aPair.mRegistry.HandleDeregistration(
                    kName, before.mIncarnation, At(aMs + 1)),
                  At(aMs + 1));
  };
  late(one, 100);
  late(two, 200);
  CHECK(StageOf(directory) == UpstreamStage::kReady);
  CHECK(directory.Find(kName)->mReport.mAddress.mPort == 80);
  // The replica that knows the earlier life only does not hear this one.
  for (int ms = 300; ms <= 6000; ms += 300) {
    two.Pull(directory, At(ms));
    two.Deliver(directory, two.mRegistry.Tick(At(ms)), At(ms));
    after.mSequence += 1;
    one.mRegistry.HandleHeartbeat(after, At(ms));
  }
  CHECK_FALSE(directory.Find(kName)->mSilent);
  // A goodbye that names no life ends the one that is known.
  one.Deliver(directory,
              one.mRegistry.HandleDeregistration(kName, {}, At(6100)),
              At(6100));
  CHECK(StageOf(directory) == UpstreamStage::kGone);
}

TEST_CASE("WhateverIsLostOrDoubledAllEntriesComeToKnowTheSame")
{
  rc::prop("lossy", [] {
    Pair one(1);
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
      // Heartbeats that change nothing are not told.
      UpstreamReport told = directory.Find(name)->mReport;
      told.mSequence = known.mReport.mSequence;
      RC_ASSERT(told == known.mReport);
    }
  });
}

// Symptom: on a large deployment work was sent to leaving upstreams 2.7 s after
// they had said so.
// Sequence: a hundred upstreams leave within a tenth of a second, at a registry
// with a slow link and eighty subscribers.
// Cause: each push repeated all that was not confirmed yet, a thousand times
// the bytes that there was to tell.
TEST_CASE("ABurstOfLeavingUpstreamsIsToldOnceAndTogether")
{
  constexpr int kUpstreams = 100;
  Pair one(1);
  UpstreamDirectory directory;
  one.Pull(directory, At(0));
  std::size_t pushes = 0;
  std::size_t rows = 0;
  const auto send = [&](const std::vector<RegistrySend>& aSends, int aMs) {
    pushes += aSends.size();
    for (const RegistrySend& one : aSends) {
      rows += one.mPush.mRows.size();
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

// Symptom: an entry never heard of an upstream again.
// Sequence: one push was lost with its connection, and others followed it every
// tenth of a second.
// Cause: a push that follows another one soon holds only what is newer, and the
// time for sending all again began anew with each.
TEST_CASE("APushThatWasLostAmongOthersIsSentAgain")
{
  Pair one(1);
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

// Symptom: with three hundred entries a replica spent all its time on pushes,
// and its memory on those that waited.
// Sequence: three thousand upstreams announce themselves within seconds.
// Cause: the same number of pushes a second to each, however many they are.
TEST_CASE("PushesASecondAreBoundedHoweverManySubscribersThereAre")
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

} // namespace peridotspool::membership
