// ctest-labels: unit limits
#include "peridotspool/limits/PermitBucket.h"

#include <catch2/catch.hpp>

namespace peridotspool::limits {

namespace {

TimePoint
At(int aMilliseconds)
{
  return TimePoint(std::chrono::milliseconds(aMilliseconds));
}

} // namespace

TEST_CASE("ABucketStartsEmptyAndAccumulatesAtItsRate")
{
  PermitBucket bucket(2.0, At(0));
  CHECK_FALSE(bucket.TryTake(At(0)));
  CHECK_FALSE(bucket.TryTake(At(499)));
  CHECK(bucket.TryTake(At(500)));
  CHECK(bucket.Wait(0, At(500)) == std::chrono::milliseconds(500));
  CHECK(bucket.Wait(2, At(500)) == std::chrono::milliseconds(1500));
}

TEST_CASE("ABucketHoldsAtMostItsBurst")
{
  CHECK(PermitBucket::Burst(0.2) == 1.0);
  CHECK(PermitBucket::Burst(8.0) == 2.0);
  PermitBucket bucket(8.0, At(0));
  CHECK(bucket.TryTake(At(60000)));
  CHECK(bucket.TryTake(At(60000)));
  CHECK_FALSE(bucket.TryTake(At(60000)));
}

TEST_CASE("ALowerRateDropsWhatExceedsItsBurst")
{
  PermitBucket bucket(40.0, At(0));
  bucket.SetRate(1.0, At(1000));
  CHECK(bucket.TryTake(At(1000)));
  CHECK_FALSE(bucket.TryTake(At(1000)));
}

// Guards against permits that are taken and put back in turns and add to those
// that accumulate meanwhile.
TEST_CASE("APermitIsPutBackLessWhatHasAccumulatedSince")
{
  PermitBucket bucket(1.0, At(0));
  REQUIRE(bucket.TryTake(At(1000)));
  bucket.PutBack(At(1000), At(1400));
  CHECK(bucket.TryTake(At(1400)));
  CHECK_FALSE(bucket.TryTake(At(1400)));
  CHECK(bucket.Wait(0, At(1400)) == std::chrono::milliseconds(1000));
}

TEST_CASE("SendsWithoutPermitsAreMadeUpForUpToABurst")
{
  PermitBucket bucket(1.0, At(0));
  for (int i = 0; i < 100; ++i) {
    bucket.Charge(At(0));
  }
  CHECK(bucket.Wait(0, At(0)) == std::chrono::milliseconds(2000));
}

} // namespace peridotspool::limits
