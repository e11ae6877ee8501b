// ctest-labels: promise-rollout
#include "peridotspool/rollout/RolloutGate.h"

#include <catch2/catch.hpp>

namespace peridotspool::rollout {

namespace {

const ServiceName kService("s");
const VersionName kOld("v1");
const VersionName kNew("v2");
const ReadyByVersion kBoth = { { kOld, 20 }, { kNew, 20 } };

TimePoint
At(int aMs)
{
  return TimePoint(std::chrono::seconds(1000) + std::chrono::milliseconds(aMs));
}

RolloutUpdate
Update(std::uint64_t aSequence, std::vector<ServiceVersions> aServices)
{
  return { .mTerm = 1,
           .mSequence = aSequence,
           .mNumber = aSequence,
           .mLease = std::chrono::seconds(2),
           .mServices = std::move(aServices) };
}

ServiceVersions
Running(std::uint32_t aShare, std::uint64_t aAllowed)
{
  return { .mService = kService,
           .mRunning = RolloutShare{ .mRollout = RolloutId(1),
                                     .mTo = kNew,
                                     .mShare = aShare,
                                     .mAllowed = aAllowed } };
}

/** Returns how many of aCount requests go to the new version. */
int
SentToNew(RolloutGate& aGate, int aCount, TimePoint aNow)
{
  int sent = 0;
  for (int i = 0; i < aCount; ++i) {
    const auto seed = static_cast<std::uint64_t>(i) * 2654435761U;
    const auto choice = aGate.ChooseFirst(kService, "r", seed, kBoth, aNow);
    sent += choice.mFilter.Allows(kNew) ? 1 : 0;
  }
  return sent;
}

} // namespace

// Guards against a new version that gets requests before its order is known.
TEST_CASE("AVersionThatWasNotOrderedGetsNothing")
{
  RolloutGate gate;
  gate.ApplyUpdate(Update(1, {}), At(0));
  CHECK(gate.ChooseFirst(kService, "r", 1, { { kOld, 2 } }, At(0))
          .mFilter.Allows(kOld));
  CHECK(SentToNew(gate, 100, At(1)) == 0);
  // The new version's upstreams are the only ones left.
  CHECK(gate.ChooseFirst(kService, "r", 1, { { kNew, 2 } }, At(2))
          .mFilter.Allows(kNew));
}

// Guards against an entry that selects a version before its first update.
TEST_CASE("WithoutAnyUpdateNoVersionIsChosenAmongSeveral")
{
  RolloutGate gate;
  const auto choice = gate.ChooseFirst(kService, "r", 1, kBoth, At(0));
  CHECK_FALSE(choice.mFilter.Allows(kOld));
  CHECK_FALSE(choice.mFilter.Allows(kNew));
  CHECK(gate.ChooseFirst(kService, "r", 1, { { kNew, 2 } }, At(0))
          .mFilter.Allows(kNew));
}

TEST_CASE("TheNewVersionGetsWhatIsAllowedAndNoMore")
{
  RolloutGate gate;
  gate.ApplyUpdate(Update(1, { Running(0, 3) }), At(0));
  CHECK(SentToNew(gate, 1000, At(1)) == 3);
  gate.ApplyUpdate(Update(2, { Running(0, 5) }), At(300));
  CHECK(SentToNew(gate, 1000, At(301)) == 2);
}

// Guards against an entry that continues to send requests to a version that the
// leader has rolled back while the entry cannot reach the leader.
TEST_CASE("WithoutTheLeaderTheNewVersionGetsNothing")
{
  RolloutGate gate;
  gate.ApplyUpdate(Update(1, { Running(500, 100) }), At(0));
  CHECK(SentToNew(gate, 1000, At(1999)) > 400);
  CHECK(SentToNew(gate, 1000, At(2000)) == 0);
}

TEST_CASE("AnOutOfOrderUpdateIsDropped")
{
  RolloutGate gate;
  gate.ApplyUpdate(Update(2, { Running(0, 0) }), At(0));
  gate.ApplyUpdate(Update(1, { Running(1000, 0) }), At(1));
  CHECK(SentToNew(gate, 100, At(2)) == 0);
}

TEST_CASE("AfterCompletionOnlyTheNewVersionGetsRequests")
{
  RolloutGate gate;
  gate.ApplyUpdate(Update(1, { { .mService = kService, .mCurrent = kNew } }),
                   At(0));
  const auto choice = gate.ChooseRetry(kService, kBoth, At(60000));
  CHECK(choice.mFilter.Allows(kNew));
  CHECK_FALSE(choice.mFilter.Allows(kOld));
}

TEST_CASE("AfterARollbackTheNewVersionGetsNothing")
{
  RolloutGate gate;
  gate.ApplyUpdate(
    Update(1, { { .mService = kService, .mRolledBack = { kNew } } }), At(0));
  CHECK(SentToNew(gate, 1000, At(60000)) == 0);
}

// Guards against requests to upstreams that stop when a rollout is completed,
// at an entry that has not received the update.
TEST_CASE("AtTheEndOfTheShiftAnEntryWithoutALeaseUsesBothVersions")
{
  RolloutGate gate;
  gate.ApplyUpdate(Update(1, { Running(1000, 0) }), At(0));
  CHECK_FALSE(gate.ChooseRetry(kService, kBoth, At(1)).mFilter.Allows(kOld));
  const auto choice = gate.ChooseRetry(kService, kBoth, At(2500));
  CHECK(choice.mFilter.Allows(kOld));
  CHECK(choice.mFilter.Allows(kNew));
}

TEST_CASE("WhileWatchedOnlyFewUpstreamsOfTheNewVersionAreUsed")
{
  RolloutGate gate;
  gate.ApplyUpdate(Update(1, { Running(0, 1) }), At(0));
  for (std::uint64_t seed = 0; seed < 100; ++seed) {
    const auto choice = gate.ChooseFirst(kService, "r", seed, kBoth, At(500));
    if (choice.mFilter.Allows(kNew)) {
      CHECK(choice.mFilter.mMaxUpstreams == 3);
      return;
    }
  }
  FAIL("no request went to the new version");
}

// Guards against a resumed stream that holds events of two versions.
TEST_CASE("AResumedStreamGoesToItsVersionOnly")
{
  RolloutGate gate;
  gate.ApplyUpdate(Update(1, {}), At(0));
  // The entry has met the old version first, and leaves the new one out.
  gate.ChooseFirst(kService, "r", 1, { { kOld, 2 } }, At(0));
  const auto choice = gate.ChooseResumed(kService, kNew, kBoth, At(1));
  CHECK(choice.mFilter.Allows(kNew));
  CHECK_FALSE(choice.mFilter.Allows(kOld));
  gate.ApplyUpdate(Update(2, { { .mService = kService, .mCurrent = kNew } }),
                   At(2));
  CHECK(gate.ChooseResumed(kService, kOld, kBoth, At(3)).mFilter.Allows(kOld));
}

// Guards against requests to a bad version because streams began there.
TEST_CASE("AResumedStreamDoesNotGoToAVersionThatWasRolledBack")
{
  RolloutGate gate;
  gate.ApplyUpdate(
    Update(1, { { .mService = kService, .mRolledBack = { kNew } } }), At(0));
  const auto choice = gate.ChooseResumed(kService, kNew, kBoth, At(1));
  CHECK_FALSE(choice.mFilter.Allows(kNew));
  CHECK_FALSE(choice.mFilter.Allows(kOld));
}

// Guards against resumed streams that expose a version beyond its bound.
TEST_CASE("ResumedStreamsUseTheAllowanceOfAVersionOnTrial")
{
  RolloutGate gate;
  gate.ApplyUpdate(Update(1, { Running(0, 3) }), At(0));
  int resumed = 0;
  for (int i = 0; i < 10; ++i) {
    const auto choice = gate.ChooseResumed(kService, kNew, kBoth, At(1));
    resumed += choice.mFilter.Allows(kNew) ? 1 : 0;
  }
  CHECK(resumed == 3);
  CHECK(SentToNew(gate, 1000, At(2)) == 0);
  CHECK(gate.ChooseResumed(kService, kOld, kBoth, At(3)).mFilter.Allows(kOld));
}

TEST_CASE("WithoutTheLeaderAVersionOnTrialResumesNothing")
{
  RolloutGate gate;
  gate.ApplyUpdate(Update(1, { Running(500, 100) }), At(0));
  CHECK(
    gate.ChooseResumed(kService, kNew, kBoth, At(1999)).mFilter.Allows(kNew));
  CHECK_FALSE(
    gate.ChooseResumed(kService, kNew, kBoth, At(2000)).mFilter.Allows(kNew));
}

TEST_CASE("WithoutAnyUpdateNoStreamIsResumedAmongSeveralVersions")
{
  RolloutGate gate;
  CHECK_FALSE(
    gate.ChooseResumed(kService, kOld, kBoth, At(0)).mFilter.Allows(kOld));
  CHECK(gate.ChooseResumed(kService, kOld, { { kOld, 2 } }, At(0))
          .mFilter.Allows(kOld));
}

} // namespace peridotspool::rollout
