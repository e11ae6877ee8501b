// ctest-labels: unit
#include "peridotspool/fleet/UsageAggregator.h"
#include "peridotspool/gateway/MedianClock.h"
#include "peridotspool/gateway/UsageCounter.h"

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

// Guards against reporting usage for a window that is shifted by two seconds:
// the leader's wall clock jumps ahead and later back, and windows follow that
// clock.
TEST_CASE("MedianClockIgnoresClocksThatJump")
{
  MedianClock clock;
  CHECK_FALSE(clock.Micros(At(0)));
  for (std::uint64_t process = 0; process < 5; ++process) {
    clock.RecordReading(
      process, Micros(1000000) + 300 * std::int64_t(process), At(0));
  }
  clock.RecordReading(0, Micros(1002400), At(0));
  clock.RecordReading(1, Micros(998000), At(0));
  const auto micros = clock.Micros(At(100));
  REQUIRE(micros);
  CHECK(std::abs(*micros - Micros(1000100)) < 1500);
}

TEST_CASE("UsageCounterUsesTheMedianTime")
{
  UsageCounter counter(kWindow, 1);
  counter.SetMedianTime(Micros(12000), At(0));
  // The local wall clock is wrong by an hour.
  counter.Count(kCustomer, Micros(3600000), At(2999));
  counter.Count(kCustomer, Micros(3600000), At(3001));
  const UsageReport report = counter.Report(0);
  REQUIRE(report.mWindows.size() == 2);
  CHECK(report.mWindows[0].mNumber == 2);
  CHECK(report.mWindows[1].mNumber == 3);
}

TEST_CASE("UsageSumsTheNewestReportOfEachIncarnation")
{
  fleet::UsageAggregator aggregator(kWindow, std::chrono::seconds(6));
  const auto report = [](std::uint64_t aIncarnation, std::uint64_t aCount) {
    return UsageReport{
      .mEntryIncarnation = aIncarnation,
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

// Guards against settling a window too early: two entries are partitioned from
// the leader for some seconds while serving, the window is settled a second
// after its end without their reports, and a quarter of its requests is
// missing.
TEST_CASE("AWindowWaitsForPartitionedEntriesUntilItsDeadline")
{
  fleet::UsageAggregator aggregator(kWindow, std::chrono::seconds(6));
  const auto report = [](std::uint64_t aIncarnation, std::uint64_t aCount) {
    return UsageReport{
      .mEntryIncarnation = aIncarnation,
      .mWindows = { { .mNumber = 3, .mCounts = { { kCustomer, aCount } } } }
    };
  };
  aggregator.AddReport(report(1, 5), Micros(16000));
  aggregator.AddReport(report(2, 5), Micros(20500));
  CHECK_FALSE(aggregator.Due(0, Micros(22000)));
  SECTION("the entry reconnects")
  {
    aggregator.AddReport(report(1, 9), Micros(24000));
    CHECK(aggregator.Due(0, Micros(24100))->mCounts.at(kCustomer) == 14);
  }
  SECTION("the entry stays partitioned")
  {
    CHECK(aggregator.Due(0, Micros(26000))->mCounts.at(kCustomer) == 10);
  }
}

} // namespace peridotspool::gateway
