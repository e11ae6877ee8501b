// ctest-labels: unit
#include "peridotspool/routing/CrashReporter.h"

#include <catch2/catch.hpp>

namespace peridotspool::routing {

namespace {

TimePoint
At(int aMs)
{
  return TimePoint(std::chrono::seconds(1000) + std::chrono::milliseconds(aMs));
}

UpstreamCrash
CrashWithLost(std::size_t aLost)
{
  UpstreamCrash crash{ .mUpstream = { .mName = UpstreamName("u") } };
  for (std::size_t i = 0; i < aLost; ++i) {
    crash.mLost.push_back({ .mContent = { .mLow = i },
                            .mSentAt = At(0),
                            .mLostAt = At(50),
                            .mHadPermit = i == 0 });
  }
  return crash;
}

} // namespace

TEST_CASE("CrashIsReportedWithItsAges")
{
  CrashReporter reporter;
  CHECK(reporter.Report(At(60)) == std::nullopt);
  reporter.Add(CrashWithLost(1));
  const auto report = reporter.Report(At(60));
  REQUIRE(report.has_value());
  REQUIRE(report->mLines.size() == 1);
  CHECK(report->mLines[0].mUpstream == UpstreamName("u"));
  CHECK(report->mLines[0].mSentAgeMs == 60);
  CHECK(report->mLines[0].mLostAgeMs == 10);
  CHECK(report->mLines[0].mHadPermit);
}

TEST_CASE("ReportIsResentUntilAcknowledged")
{
  CrashReporter reporter;
  reporter.Add(CrashWithLost(1));
  reporter.Report(At(60));
  CHECK(reporter.Report(At(200)) == std::nullopt);
  const auto again = reporter.Report(At(400));
  REQUIRE(again.has_value());
  reporter.OnAck({ .mNumber = again->mNumber });
  CHECK(reporter.Report(At(800)) == std::nullopt);
}

TEST_CASE("EachNewLeaderReceivesAllCrashes")
{
  CrashReporter reporter;
  reporter.Add(CrashWithLost(1));
  reporter.OnAck({ .mNumber = reporter.Report(At(60))->mNumber });
  reporter.OnNewLeader();
  CHECK(reporter.Report(At(70)).has_value());
}

TEST_CASE("ManyCrashesAreSplitIntoSeveralReports")
{
  CrashReporter reporter;
  reporter.Add(CrashWithLost(100));
  std::size_t lines = 0;
  while (const auto report = reporter.Report(At(60))) {
    lines += report->mLines.size();
    CHECK(report->mLines.size() <= 64);
    reporter.OnAck({ .mNumber = report->mNumber });
  }
  CHECK(lines == 100);
}

TEST_CASE("OldCrashesAreDropped")
{
  CrashReporter reporter;
  reporter.Add(CrashWithLost(1));
  reporter.Forget(At(700000));
  CHECK(reporter.Report(At(700000)) == std::nullopt);
}

} // namespace peridotspool::routing
