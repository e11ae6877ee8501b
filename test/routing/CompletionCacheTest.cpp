// ctest-labels: unit
#include "peridotspool/routing/CompletionCache.h"

#include <catch2/catch.hpp>

namespace peridotspool::routing {

namespace {

TimePoint
At(int aMs)
{
  return TimePoint(std::chrono::seconds(1000) + std::chrono::milliseconds(aMs));
}

} // namespace

TEST_CASE("LastCompleteAnswerOfAContentIsRemembered")
{
  CompletionCache cache;
  const ContentId content{ .mHigh = 1, .mLow = 5 };
  CHECK(cache.AgeOf(content, At(0)) == std::nullopt);
  cache.Record(content, At(0));
  cache.Record(content, At(100));
  CHECK(cache.AgeOf(content, At(250)) == std::chrono::milliseconds(150));
  CHECK(cache.AgeOf({ .mHigh = 2, .mLow = 5 }, At(250)) == std::nullopt);
  CHECK(cache.AgeOf(content, At(60100)) == std::nullopt);
}

TEST_CASE("NewerContentReplacesOlderOneInTheSameSlot")
{
  CompletionCache cache;
  const ContentId content{ .mHigh = 1, .mLow = 5 };
  cache.Record(content, At(0));
  cache.Record({ .mHigh = 1, .mLow = 5 + 1024 }, At(10));
  CHECK(cache.AgeOf(content, At(20)) == std::nullopt);
}

} // namespace peridotspool::routing
