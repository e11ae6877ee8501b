// ctest-labels: unit
// Simulates entries, control leaders and upstreams that crash under requests
// with certain parts of prompts. Hardly one of these requests may be sent once
// five upstreams have crashed, and sound ones that share other parts must run.

#include "routing/PartSimulation.h"

#include <catch2/catch.hpp>

namespace peridotspool::routing {

namespace {

/** Requests that may arrive at upstreams, for good. */
constexpr int kMaxLateArrivals = 3;
constexpr int kMinShared = 20;

void
CheckSeeds(PartSimulationOptions aOptions, unsigned aSeeds)
{
  for (aOptions.mSeed = 1; aOptions.mSeed <= aSeeds; ++aOptions.mSeed) {
    const PartSimulationResult one = SimulateParts(aOptions);
    INFO("seed " << aOptions.mSeed << ", " << aOptions.mEntries
                 << " entries: " << one.mCrashes << " crashes, "
                 << one.mDeadlyCrashes << " by the part; of " << one.mSound
                 << " sound requests " << one.mSoundRefused << " refused, "
                 << one.mSoundTimedOut << " without a permit in time");
    CHECK(one.mDeadlyCrashes > 0);
    CHECK(one.mLateArrivals <= kMaxLateArrivals);
    CHECK((one.mShared < kMinShared || 2 * one.mSharedHeldBack <= one.mShared));
  }
}

} // namespace

TEST_CASE("CrashingPartIsToldFromThoseBesideIt")
{
  const int entries = GENERATE(9, 300);
  const int intervalMs = GENERATE(50, 300, 2000);
  const int place = GENERATE(0, 1, 2);
  CheckSeeds({ .mEntries = entries,
               .mDeadlyIntervalMs = intervalMs,
               .mDeadlyPlace = place },
             3);
}

TEST_CASE("CrashingPartIsFoundInAVeryLongPrompt")
{
  CheckSeeds(
    { .mDeadlyIntervalMs = 300, .mDeadlyPlace = 300, .mCompanions = 500 }, 3);
}

TEST_CASE("CrashingPartIsFoundBesideCrashesOfOtherCauses")
{
  CheckSeeds({ .mEntries = GENERATE(9, 300),
               .mDeadlyIntervalMs = GENERATE(300, 2000),
               .mMassCrashIntervalMs = 5000,
               .mMeanCrashIntervalMs = 60000 },
             5);
}

TEST_CASE("SeveralCrashingPartsOfSeveralCustomersAreFound")
{
  CheckSeeds({ .mDeadlyIntervalMs = 300,
               .mDeadlyParts = 3,
               .mDeadlyCustomers = 5,
               .mMeanCrashIntervalMs = 60000 },
             10);
}

// Guards against counting crashes as one that are caused by several requests at
// the same moment, again and again.
TEST_CASE("RequestsThatComeAtTheSameMomentAreHeldBack")
{
  CheckSeeds({ .mDeadlyIntervalMs = 3000, .mDeadlyAtOnce = GENERATE(3, 6, 10) },
             10);
}

TEST_CASE("SeldomCrashingPartStaysKnownWhenProcessesAreRestarted")
{
  CheckSeeds({ .mSimulatedMs = 300000,
               .mDeadlyIntervalMs = 10000,
               .mEntryKillIntervalMs = 1000,
               .mKillAllIntervalMs = 9000 },
             10);
}

// Guards against a new leader that takes crashes for evidence which its
// predecessor knew to have another cause, or that gives permits again.
TEST_CASE("ChangesOfTheLeaderNeitherForgetNorInventEvidence")
{
  CheckSeeds({ .mDeadlyIntervalMs = 300,
               .mMassCrashIntervalMs = 5000,
               .mMeanCrashIntervalMs = 60000,
               .mEntryKillIntervalMs = 1000,
               .mLeaderChangeIntervalMs = 2000 },
             20);
}

// Guards against refusing parts because upstreams crash for other reasons.
TEST_CASE("HardlyAnythingIsHeldBackWhenNoPartCrashesUpstreams")
{
  const int entries = GENERATE(9, 300);
  int sound = 0;
  int heldBack = 0;
  for (unsigned seed = 1; seed <= 10; ++seed) {
    const PartSimulationResult one =
      SimulateParts({ .mSeed = seed,
                      .mEntries = entries,
                      .mMassCrashIntervalMs = 5000,
                      .mMeanCrashIntervalMs = 60000 });
    sound += one.mSound;
    heldBack += one.mSoundRefused + one.mSoundTimedOut;
  }
  INFO(sound << " requests");
  CHECK(heldBack <= sound / 10000);
}

} // namespace peridotspool::routing
