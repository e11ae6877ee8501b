// ctest-labels: hostile promise-refusal-did-not-run
// Bodies that an entry holds, whole or stopped short.

#include "hostile/CallerScripts.h"
#include "hostile/HostileSystem.h"

#include <catch2/catch.hpp>

namespace peridotspool::hostile {

namespace {

/** Bodies in chunks of one size that end one chunk before the limit. */
ClientScript
StoppedBody(std::size_t aChunkBytes)
{
  return { .mHead = kChunkedHead,
           .mPiece = Chunk(aChunkBytes),
           .mPieces = kMaxBodyBytes / aChunkBytes - 1 };
}

} // namespace

// Guards against bodies that hold memory without ever becoming requests.
TEST_CASE("LargeChunksThatStopShortFillNoMemory")
{
  CheckCrowd(42, 60, StoppedBody(64U << 10));
}

// Guards against the same in chunks whose headers are as long as their data.
TEST_CASE("SmallChunksThatStopShortFillNoMemory")
{
  CheckCrowd(43, 60, StoppedBody(8));
}

// Guards against many bodies within the limit that arrive whole at the same
// time, and against a refused request that has run.
TEST_CASE("BodiesOnTheirWayToAnUpstreamFillNoMemory")
{
  HostileSystem system(44);
  system.Start();
  const auto watch = system.WatchEntry();
  HostileCrowd crowd(system.Host(),
                     soak::kCallerPort,
                     60,
                     { .mHead = WithLength(kMaxBodyBytes),
                       .mPiece = std::string(1U << 10, 'x'),
                       .mPieces = kMaxBodyBytes >> 10 });
  crowd.Send();
  system.CheckHolds(*watch);
  crowd.ReadAnswers();
  const std::set<std::string> runs = system.Runs();
  for (std::size_t number = 0; number < crowd.Outcomes().size(); ++number) {
    const ClientOutcome& outcome = crowd.Outcomes()[number];
    const bool isPromise = outcome.Status() == 503 || outcome.Status() == 429;
    INFO("request c" << number << " got '" << outcome.mAnswer.substr(0, 200));
    CHECK_FALSE((isPromise && runs.count("c" + std::to_string(number)) > 0));
    CHECK((!isPromise ||
           outcome.mAnswer.find("\r\nRetry-After: ") != std::string::npos));
  }
}

} // namespace peridotspool::hostile
