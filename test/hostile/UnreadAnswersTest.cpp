// ctest-labels: hostile
// Answers that nobody reads.

#include "hostile/CallerScripts.h"
#include "hostile/HostileSystem.h"

#include <catch2/catch.hpp>

namespace peridotspool::hostile {

// Guards against answers that are kept for callers that never read them.
TEST_CASE("AnswersThatNobodyReadsFillNoMemory")
{
  HostileSystem system(46);
  system.Upstream().AnswerWith(6U << 20);
  system.Start();
  const auto watch = system.WatchEntry();
  HostileCrowd crowd(system.Host(),
                     soak::kCallerPort,
                     60,
                     { .mHead = WithLength(4),
                       .mPiece = "body",
                       .mPieces = 1,
                       .mReads = false });
  crowd.SendInTurn();
  system.CheckHolds(*watch);
}

// Guards against a connection whose next requests are served while its answers
// are not read.
TEST_CASE("RequestsSentAheadFillNoMemory")
{
  HostileSystem system(47);
  system.Upstream().AnswerWith(1U << 20);
  system.Start();
  const auto watch = system.WatchEntry();
  HostileCrowd crowd(
    system.Host(),
    soak::kCallerPort,
    12,
    { .mPiece = WithLength(4) + "body", .mPieces = 40, .mReads = false });
  crowd.SendInTurn();
  system.WaitUntilIdle();
  system.CheckHolds(*watch);
}

} // namespace peridotspool::hostile
