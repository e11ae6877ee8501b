// ctest-labels: unit
// Plays entries, a control leader and upstreams that end, and looks at what is
// refused: all of a request that ends them, nothing of any other.

#include "routing/QuarantinePlay.h"

#include <catch2/catch.hpp>

namespace peridotspool::routing {

// Half of all upstreams end at once, every five seconds, and each by itself
// every minute besides; contents that many ask for run on all of them.
TEST_CASE("NothingIsRefusedWhileUpstreamsEndForReasonsOfTheirOwn")
{
  int sent = 0;
  int ends = 0;
  int refused = 0;
  int noTurn = 0;
  for (unsigned seed = 1; seed <= 20; ++seed) {
    const QuarantinePlayOutcome one = PlayQuarantine(
      { .mSeed = seed, .mMassEachMs = 5000, .mEndsEachMs = 60000 });
    sent += one.mSent;
    ends += one.mEnds;
    refused += one.mRefused;
    noTurn += one.mNoTurn;
  }
  INFO(sent << " requests, " << ends << " ends, " << noTurn
            << " waited for their turn in vain");
  CHECK(refused == 0);
  CHECK(noTurn <= sent / 10000);
}

TEST_CASE("ADeadlyRequestIsRefusedAndNoOther")
{
  const int entries = GENERATE(9, 300);
  const int each = GENERATE(50, 300, 2000);
  for (unsigned seed = 1; seed <= 10; ++seed) {
    const QuarantinePlayOutcome one = PlayQuarantine({ .mSeed = seed,
                                                       .mEntries = entries,
                                                       .mEachMs = 10 * entries,
                                                       .mDeadlyEachMs = each });
    INFO("seed " << seed << ", " << entries << " entries, one each " << each
                 << " ms: " << one.mEnds << " ends, " << one.mDeadlySent
                 << " sent");
    CHECK(one.mDeadlyLate <= 3);
    CHECK(one.mRefused == 0);
  }
}

// Both at once: that others end upstreams too must not hide the deadly one.
TEST_CASE("ADeadlyRequestIsRefusedWhileUpstreamsEndByThemselves")
{
  int refused = 0;
  for (unsigned seed = 1; seed <= 20; ++seed) {
    const QuarantinePlayOutcome one = PlayQuarantine({ .mSeed = seed,
                                                       .mMassEachMs = 5000,
                                                       .mEndsEachMs = 60000,
                                                       .mDeadlyEachMs = 300 });
    INFO("seed " << seed << ": " << one.mEnds << " ends");
    CHECK(one.mDeadlyLate <= 3);
    refused += one.mRefused;
  }
  CHECK(refused == 0);
}

} // namespace peridotspool::routing