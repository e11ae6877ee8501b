// ctest-labels: unit
#include "peridotspool/fleet/UsageAggregator.h"
#include "peridotspool/gateway/CommonClock.h"
#include "peridotspool/gateway/UsageTally.h"

#include <catch2/catch.hpp>

namespace peridotspool::gateway {

namespace {

constexpr Duration kWindow = std::chrono::seconds(5);
const CustomerName kCustomer("c");

TimePoint
At(int aMs)
{
  return TimePoint(std::chrono::milliseconds(aMs));
}

constexpr std::int64_t
Micros(int aMs)
{
  return std::int64_t{ aMs } * 1000;
}

} // namespace

// Symptom: the cloud got usage of a window that lay two seconds off.
// Sequence: the leader's time of day jumped ahead, and back again later.
// Cause: windows were cut by the leader's own time of day.
TEST_CASE("CommonClockFollowsMostClocksNotTheOneThatJumped")
{
  CommonClock clock;
  CHECK_FALSE(clock.Micros(At(0)));
  for (std::uint64_t process = 0; process < 5; ++process) {
    clock.Take(process, Micros(1000000) + 300 * std::int64_t(process), At(0));
  }
  clock.Take(0, Micros(1002400), At(0));
  clock.Take(1, Micros(998000), At(0));
  const auto micros = clock.Micros(At(100));
  REQUIRE(micros);
  CHECK(std::abs(*micros - Micros(1000100)) < 1500);
}

TEST_CASE("UsageTallyCountsByTheCommonTime")
{
  UsageTally tally(kWindow, 1);
  tally.TakeTime(Micros(12000), At(0));
  // The own time of day is wrong by an hour.
  tally.Count(kCustomer, Micros(3600000), At(2999));
  tally.Count(kCustomer, Micros(3600000), At(3001));
  const UsageReport report = tally.Report(0);
  REQUIRE(report.mWindows.size() == 2);
  CHECK(report.mWindows[0].mNumber == 2);
  CHECK(report.mWindows[1].mNumber == 3);
}

TEST_CASE("UsageDeskAddsUpLivesAndTakesEachOnesNewestReport")
{
  fleet::UsageAggregator aggregator(kWindow, std::chrono::seconds(6));
  const auto report = [](std::uint64_t aLife, std::uint64_t aCount) {
    return UsageReport{
      .mLife = aLife,
      .mWindows = { { .mNumber = 3, .mCounts = { { kCustomer, aCount } } } }
    };
  };
  aggregator.AddReport(report(1, 5), Micros(17000));
  aggregator.AddReport(report(1, 7), Micros(20400));
  aggregator.AddReport(report(2, 10), Micros(20400));
  CHECK_FALSE(aggregator.Due(0, Micros(20500)));
  const auto due = aggregator.Due(0, Micros(21500));
  REQUIRE(due);
  CHECK(due->mNumber == 3);
  CHECK(due->mCounts.at(kCustomer) == 17);
  CHECK_FALSE(aggregator.Due(3, Micros(60000)));
}

// Symptom: a window's usage lacked a quarter of its requests.
// Sequence: two entries were cut off from the leader for some seconds and went
// on serving; the window was settled a second after its end.
// Cause: what had come by then was taken for all.
TEST_CASE("AWindowWaitsForEntriesThatAreCutOffAsLongAsItCan")
{
  fleet::UsageAggregator aggregator(kWindow, std::chrono::seconds(6));
  const auto report = [](std::uint64_t aLife, std::uint64_t aCount) {
    return UsageReport{
      .mLife = aLife,
      .mWindows = { { .mNumber = 3, .mCounts = { { kCustomer, aCount } } } }
    };
  };
  aggregator.AddReport(report(1, 5), Micros(16000));
  aggregator.AddReport(report(2, 5), Micros(20500));
  CHECK_FALSE(aggregator.Due(0, Micros(22000)));
  SECTION("it comes back")
  {
    aggregator.AddReport(report(1, 9), Micros(24000));
    CHECK(aggregator.Due(0, Micros(24100))->mCounts.at(kCustomer) == 14);
  }
  SECTION("it doesn't")
  {
    CHECK(aggregator.Due(0, Micros(26000))->mCounts.at(kCustomer) == 10);
  }
}

} // namespace peridotspool::gateway
