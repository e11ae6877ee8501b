// ctest-labels: limits
#include "limits/PermitSimulation.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <random>

namespace peridotspool::limits {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeeds = 3;

/** Checks the bound for several numbers of entries, limits and seeds. */
void
CheckLimitHolds(const std::vector<PermitIncident>& aIncidents)
{
  for (const std::size_t entries : { 3, 11, 70, 300 }) {
    for (const double limit : { 0.2, 1.0, 5.0, 50.0 }) {
      for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        PermitSimulation simulation(
          { .mEntries = entries, .mLimit = limit, .mSeed = seed }, aIncidents);
        const PermitSimulationResult result = simulation.Run();
        INFO("entries " << entries << ", limit " << limit << ", seed " << seed
                        << ": " << result.mWorstRatio
                        << " of what is allowed in the window from "
                        << result.mWorstAt.count() / 1000
                        << " ms, expected at most 1");
        CHECK(result.mWorstRatio <= 1.0);
        INFO("permits: " << result.mWorstGrantRatio
                         << " of what one bucket yields in the second from "
                         << result.mWorstGrantAt.count() / 1000
                         << " ms, expected at most 1");
        CHECK(result.mWorstGrantRatio <= 1.0);
      }
    }
  }
}

std::vector<PermitIncident>
RandomIncidents(std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  std::vector<PermitIncident> incidents;
  for (int i = 0; i < 8; ++i) {
    incidents.push_back({ .mAt = milliseconds(3000 + random() % 24000),
                          .mFault = static_cast<PermitFault>(random() % 7),
                          .mFor = milliseconds(200 + random() % 4000) });
  }
  for (int i = 0; i < 2; ++i) {
    constexpr double kFactors[] = { 0.2, 0.5, 2.0, 5.0 };
    incidents.push_back({ .mAt = milliseconds(6000 + random() % 20000),
                          .mFault = PermitFault::kLimitChanges,
                          .mFactor = kFactors[random() % 4] });
  }
  return incidents;
}

} // namespace

// Guards against a limit that is kept by sending too little.
TEST_CASE("EntriesUseMostOfWhatAnUpstreamOffers")
{
  for (const std::size_t entries : { 3, 11, 70, 300 }) {
    for (const double limit : { 0.2, 1.0, 5.0, 50.0 }) {
      PermitSimulation simulation(
        { .mEntries = entries, .mLimit = limit, .mLength = seconds(65) }, {});
      const PermitSimulationResult result = simulation.Run();
      INFO("entries " << entries << ", limit " << limit << ": arrived "
                      << result.mArrived << " of " << result.mOffered
                      << " that the limit offers, worst window "
                      << result.mWorstRatio);
      CHECK(result.mWorstRatio <= 1.0);
      CHECK(static_cast<double>(result.mArrived) >= 0.75 * result.mOffered);
    }
  }
}

// Guards against a new coordinator that grants beside the old one.
TEST_CASE("ALimitHoldsWhileItsCoordinatorRestarts")
{
  CheckLimitHolds(
    { { .mAt = seconds(10) }, { .mAt = seconds(13) }, { .mAt = seconds(16) } });
}

// Guards against a coordinator that resumes and grants as before.
TEST_CASE("ALimitHoldsWhileItsCoordinatorFreezes")
{
  CheckLimitHolds({ { .mAt = seconds(10),
                      .mFault = PermitFault::kCoordinatorFreezes,
                      .mFor = seconds(3) },
                    { .mAt = seconds(16),
                      .mFault = PermitFault::kCoordinatorFreezes,
                      .mFor = milliseconds(800) } });
}

// Guards against two coordinators on two sides of a partition.
TEST_CASE("ALimitHoldsWhileEntriesArePartitioned")
{
  CheckLimitHolds({ { .mAt = seconds(10),
                      .mFault = PermitFault::kCoordinatorCutFromLeader,
                      .mFor = seconds(5) },
                    { .mAt = seconds(18),
                      .mFault = PermitFault::kSplit,
                      .mFor = seconds(4) } });
}

TEST_CASE("ALimitHoldsWhileThereIsNoLeader")
{
  CheckLimitHolds({ { .mAt = seconds(8),
                      .mFault = PermitFault::kLeaderLost,
                      .mFor = seconds(3) },
                    { .mAt = seconds(9) },
                    { .mAt = seconds(18),
                      .mFault = PermitFault::kLeaderLost,
                      .mFor = seconds(1) } });
}

TEST_CASE("ALimitThatFallsOrRisesHolds")
{
  CheckLimitHolds({ { .mAt = seconds(9),
                      .mFault = PermitFault::kLimitChanges,
                      .mFactor = 0.2 },
                    { .mAt = seconds(17),
                      .mFault = PermitFault::kLimitChanges,
                      .mFactor = 3.0 },
                    { .mAt = seconds(24),
                      .mFault = PermitFault::kLimitChanges,
                      .mFactor = 0.5 } });
}

// Guards against entries that stay below a limit that the upstream no longer
// states.
TEST_CASE("ALimitThatEndsIsForgottenByAllEntries")
{
  for (const std::size_t entries : { 3, 11, 70 }) {
    PermitSimulation simulation(
      { .mEntries = entries, .mLimit = 5.0, .mLength = seconds(40) },
      { { .mAt = seconds(10),
          .mFault = PermitFault::kLimitChanges,
          .mFactor = 0.0 } });
    const PermitSimulationResult result = simulation.Run();
    // Demand is three times the former limit.
    INFO("entries " << entries << ": " << result.mUnpermitted
                    << " sends without a permit");
    CHECK(result.mUnpermitted >= 300);
  }
}

TEST_CASE("ALimitHoldsUnderRandomFaults")
{
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    INFO("seed of the faults: " << seed);
    CheckLimitHolds(RandomIncidents(seed));
  }
}

/** By hand, with the number of further seeds in LIMIT_SEEDS. */
TEST_CASE("ALimitHoldsUnderManyRandomFaults", "[.]")
{
  const char* const text = std::getenv("LIMIT_SEEDS");
  const std::uint64_t seeds =
    text == nullptr ? 0 : std::strtoull(text, nullptr, 10);
  for (std::uint64_t seed = 5; seed < 5 + seeds; ++seed) {
    INFO("seed of the faults: " << seed);
    CheckLimitHolds(RandomIncidents(seed));
  }
}

} // namespace peridotspool::limits
