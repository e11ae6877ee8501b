// ctest-labels: unit
#include "peridotspool/gateway/FailureRate.h"

#include <catch2/catch.hpp>

namespace peridotspool::gateway {

namespace {

TimePoint
At(int aMs)
{
  return TimePoint(std::chrono::seconds(1000) + std::chrono::milliseconds(aMs));
}

} // namespace

TEST_CASE("FailureRateCoversRecentSends")
{
  FailureRate rate;
  CHECK(rate.Percent(At(0)) == 0);
  for (int ms = 0; ms < 1000; ms += 100) {
    rate.Record(ms % 200 == 0, At(ms));
  }
  CHECK(rate.Percent(At(1000)) >= 45);
  CHECK(rate.Percent(At(1000)) <= 55);
  for (int ms = 1000; ms < 9000; ms += 100) {
    rate.Record(false, At(ms));
  }
  CHECK(rate.Percent(At(9000)) == 0);
}

// An upstream that failed for two seconds must not be avoided forever, and one
// failure of a rarely used one must not keep all entries away. Guards against a
// rate over very few or old sends.
TEST_CASE("FailureRateIsZeroForFewOrOldSends")
{
  FailureRate rate;
  rate.Record(true, At(0));
  rate.Record(true, At(1));
  CHECK(rate.Percent(At(2)) == 0);
  for (int i = 0; i < 20; ++i) {
    rate.Record(true, At(10));
  }
  CHECK(rate.Percent(At(10)) == 100);
  CHECK(rate.Percent(At(2000)) == 100);
  CHECK(rate.Percent(At(5000)) == 0);
}

} // namespace peridotspool::gateway
