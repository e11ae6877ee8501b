// ctest-labels: hostile promise-refusal-did-not-run
// Bodies far over the limit, announced or just sent.

#include "hostile/CallerScripts.h"
#include "hostile/HostileSystem.h"

#include <catch2/catch.hpp>

namespace peridotspool::hostile {

namespace {

/** Returns true iff it refuses the body, or the crowd's bodies in all. */
bool
IsRefusal(const ClientOutcome& aOutcome)
{
  const bool says =
    aOutcome.mAnswer.find("\r\nRetry-After: ") != std::string::npos;
  return aOutcome.Status() == 413 || (aOutcome.Status() == 503 && says);
}

/** Checks that each client is refused, and that no upstream has run its
 * request. */
void
CheckRefused(HostileSystem& aSystem, HostileCrowd& aCrowd)
{
  aCrowd.ReadAnswers();
  for (const ClientOutcome& outcome : aCrowd.Outcomes()) {
    INFO("a client that had sent " << outcome.mSent << " bytes got '"
                                   << outcome.mAnswer.substr(0, 60) << "'");
    CHECK(IsRefusal(outcome));
    CHECK_FALSE(outcome.mIsReset);
  }
  for (std::size_t number = 0; number < aCrowd.Outcomes().size(); ++number) {
    CHECK(aSystem.Runs().count("c" + std::to_string(number)) == 0);
  }
}

} // namespace

// Guards against a refusal that is lost by a reset, because its client was
// still sending and reads only afterwards.
TEST_CASE("ARefusalReachesAClientThatIsStillSending")
{
  constexpr std::size_t kFarOver = 1U << 30;
  constexpr std::size_t kSent = kMaxBodyBytes + (1U << 20);
  HostileSystem system(45);
  system.Start();
  const auto watch = system.WatchEntry();
  for (const bool reads : { true, false }) {
    for (const std::string& head : { WithLength(kFarOver), kChunkedHead }) {
      const std::string piece =
        head == kChunkedHead ? Chunk(1000) : std::string(1000, 'x');
      HostileCrowd crowd(system.Host(),
                         soak::kCallerPort,
                         8,
                         { .mHead = head,
                           .mPiece = piece,
                           .mPieces = kSent / 1000,
                           .mReads = reads });
      crowd.Send();
      CheckRefused(system, crowd);
    }
  }
  system.CheckHolds(*watch);
}

} // namespace peridotspool::hostile
