// ctest-labels: promise-whole-own-answer
#include "streams/OriginSimulation.h"

#include <catch2/catch.hpp>

#include <iostream>

namespace peridotspool::streams {

namespace {

constexpr std::uint64_t kSeeds = 12;
constexpr Duration kRun = std::chrono::seconds(30);
/** The share of streams that have to go on while entries fail. */
constexpr double kMinResumed = 0.5;

void
CheckBothRules(const OriginSimulationOptions& aOptions, Duration aFor = kRun)
{
  const OriginSimulationResult result = OriginSimulation(aOptions).Run(aFor);
  INFO("seed " << aOptions.mSeed << ", " << aOptions.mEntries
               << " entries: " << result.mBegun << " streams began, "
               << result.mUnconfirmed << " of them unconfirmed; "
               << result.mResumed << " of " << result.mAsked << " resumed");
  REQUIRE(result.mAsked > 100);
  CHECK(result.mMixed == 0);
  CHECK(result.mForgedFound == 0);
  CHECK(static_cast<double>(result.mResumed) >=
        kMinResumed * static_cast<double>(result.mAsked));
}

} // namespace

// Guards against streams of two versions, and against streams that are refused
// though other entries know their version.
TEST_CASE("StreamsGoOnAtTheirVersionWhileEntriesFail")
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CheckBothRules({ .mSeed = seed });
  }
}

TEST_CASE("StreamsGoOnInASystemOfThreeHundredEntries")
{
  CheckBothRules(
    { .mSeed = 1, .mEntries = 300, .mDomains = 10, .mFaultsPerSecond = 10.0 },
    std::chrono::seconds(12));
}

TEST_CASE("StreamsGoOnInASystemOfTwoEntries")
{
  CheckBothRules(
    { .mSeed = 1, .mEntries = 2, .mDomains = 1, .mFaultsPerSecond = 0.2 });
}

// By hand: prints what becomes of streams as more entries fail.
TEST_CASE("MeasureResumedStreams", "[.byhand]")
{
  for (const double faults : { 0.0, 0.5, 1.0, 2.0, 4.0 }) {
    const auto result =
      OriginSimulation({ .mSeed = 1, .mFaultsPerSecond = faults }).Run(kRun);
    std::cout << faults << " faults/s: " << result.mBegun << " begun, "
              << result.mUnconfirmed << " unconfirmed, " << result.mResumed
              << " of " << result.mAsked << " resumed\n";
  }
}

} // namespace peridotspool::streams
