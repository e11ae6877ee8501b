// ctest-labels: unit
// Plays entries, a control leader and upstreams that end, and looks at what is
// refused: all of a request that crashes them, nothing of any other.

#include "routing/QuarantineSimulation.h"

#include <catch2/catch.hpp>

namespace peridotspool::routing {

// Half of all upstreams end at once, every five seconds, and intervalMs by
// itself every minute besides; contents that many ask for run on all of them.
TEST_CASE("NothingIsRefusedWhileUpstreamsEndForReasonsOfTheirOwn")
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
  INFO(sent << " requests, " << crashes << " ends, " << permitTimeouts
            << " waited for their turn in vain");
  CHECK(refused == 0);
  CHECK(permitTimeouts <= sent / 10000);
}

TEST_CASE("ADeadlyRequestIsRefusedAndNoOther")
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
                 << intervalMs << " ms: " << one.mCrashes << " ends, "
                 << one.mDeadlySent << " sent");
    CHECK(one.mDeadlySentLate <= 3);
    CHECK(one.mRefused == 0);
  }
}

// Both at once: that others end upstreams too must not hide the deadly one.
TEST_CASE("ADeadlyRequestIsRefusedWhileUpstreamsEndByThemselves")
{
  int refused = 0;
  for (unsigned seed = 1; seed <= 20; ++seed) {
    const QuarantineSimulationResult one =
      SimulateQuarantine({ .mSeed = seed,
                           .mMassCrashIntervalMs = 5000,
                           .mMeanCrashIntervalMs = 60000,
                           .mDeadlyIntervalMs = 300 });
    INFO("seed " << seed << ": " << one.mCrashes << " ends");
    CHECK(one.mDeadlySentLate <= 3);
    refused += one.mRefused;
  }
  CHECK(refused == 0);
}

} // namespace peridotspool::routing