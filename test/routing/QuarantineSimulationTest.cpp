// ctest-labels: unit
// Simulates entries, a control leader and crashing upstreams. All of a deadly
// request, which crashes upstreams, must be refused, and no other request.

#include "routing/QuarantineSimulation.h"

#include <catch2/catch.hpp>

namespace peridotspool::routing {

// Every five seconds half of the upstreams crash at once, and each crashes once
// a minute by itself. Popular contents run on all of them.
TEST_CASE("NothingIsRefusedWhileUpstreamsCrashForUnrelatedReasons")
{
  int sent = 0;
  int crashes = 0;
  int refused = 0;
  int permitTimeouts = 0;
  for (unsigned seed = 1; seed <= 20; ++seed) {
    const QuarantineSimulationResult one =
      SimulateQuarantine({ .mSeed = seed,
                           .mMassCrashIntervalMs = 5000,
                           .mMeanCrashIntervalMs = 60000 });
    sent += one.mSent;
    crashes += one.mCrashes;
    refused += one.mRefused;
    permitTimeouts += one.mPermitTimeouts;
  }
  INFO(sent << " requests, " << crashes << " crashes, " << permitTimeouts
            << " did not get a permit in time");
  CHECK(refused == 0);
  CHECK(permitTimeouts <= sent / 10000);
}

TEST_CASE("OnlyTheDeadlyRequestIsRefused")
{
  const int entries = GENERATE(9, 300);
  const int intervalMs = GENERATE(50, 300, 2000);
  for (unsigned seed = 1; seed <= 10; ++seed) {
    const QuarantineSimulationResult one =
      SimulateQuarantine({ .mSeed = seed,
                           .mEntries = entries,
                           .mRequestIntervalMs = 10 * entries,
                           .mDeadlyIntervalMs = intervalMs });
    INFO("seed " << seed << ", " << entries << " entries, one each "
                 << intervalMs << " ms: " << one.mCrashes << " crashes, "
                 << one.mDeadlySent << " sent");
    CHECK(one.mDeadlySentLate <= 3);
    CHECK(one.mRefused == 0);
  }
}

// Crashes of upstreams for other reasons must not hide the deadly request.
TEST_CASE("DeadlyRequestIsRefusedWhileUpstreamsCrashForUnrelatedReasons")
{
  int refused = 0;
  for (unsigned seed = 1; seed <= 20; ++seed) {
    const QuarantineSimulationResult one =
      SimulateQuarantine({ .mSeed = seed,
                           .mMassCrashIntervalMs = 5000,
                           .mMeanCrashIntervalMs = 60000,
                           .mDeadlyIntervalMs = 300 });
    INFO("seed " << seed << ": " << one.mCrashes << " crashes");
    CHECK(one.mDeadlySentLate <= 3);
    refused += one.mRefused;
  }
  CHECK(refused == 0);
}

} // namespace peridotspool::routing