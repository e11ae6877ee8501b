// ctest-labels: hostile
// Requests within the limits.

#include "hostile/CallerScripts.h"
#include "hostile/HostileSystem.h"

#include <catch2/catch.hpp>

namespace peridotspool::hostile {

// Guards against limits that refuse a request within them.
TEST_CASE("ASingleRequestWithinTheLimitsIsServed")
{
  HostileSystem system(51);
  system.Start();
  const auto watch = system.WatchEntry();
  const ClientScript scripts[] = {
    { .mHead = WithLength(kMaxBodyBytes),
      .mPiece = std::string(1U << 10, 'x'),
      .mPieces = kMaxBodyBytes >> 10 },
    { .mHead = kChunkedHead,
      .mPiece = Chunk(kMaxBodyBytes),
      .mPieces = 1,
      .mTail = "0\r\n\r\n" },
    { .mHead = kChunkedHead,
      .mPiece = Chunk(1),
      .mPieces = kMaxBodyBytes,
      .mTail = "0\r\nX-More: x\r\n\r\n" },
  };
  for (const ClientScript& script : scripts) {
    HostileCrowd crowd(system.Host(), soak::kCallerPort, 1, script);
    crowd.Send();
    crowd.ReadAnswers();
    CHECK(crowd.Outcomes().front().Status() == 200);
  }
  system.CheckHolds(*watch);
}

} // namespace peridotspool::hostile
