// ctest-labels: unit
#include "peridotspool/routing/AnswerMemory.h"

#include <catch2/catch.hpp>

namespace peridotspool::routing {

namespace {

TimePoint
At(int aMs)
{
  return TimePoint(std::chrono::seconds(1000) + std::chrono::milliseconds(aMs));
}

} // namespace

TEST_CASE("TheLastAnswerOfAContentIsRemembered")
{
  AnswerMemory memory;
  const ContentId content{ .mHigh = 1, .mLow = 5 };
  CHECK(memory.AgeOf(content, At(0)) == std::nullopt);
  memory.Note(content, At(0));
  memory.Note(content, At(100));
  CHECK(memory.AgeOf(content, At(250)) == std::chrono::milliseconds(150));
  CHECK(memory.AgeOf({ .mHigh = 2, .mLow = 5 }, At(250)) == std::nullopt);
  CHECK(memory.AgeOf(content, At(60100)) == std::nullopt);
}

TEST_CASE("ANewerContentTakesThePlaceOfAnOlderOne")
{
  AnswerMemory memory;
  const ContentId content{ .mHigh = 1, .mLow = 5 };
  memory.Note(content, At(0));
  memory.Note({ .mHigh = 1, .mLow = 5 + 1024 }, At(10));
  CHECK(memory.AgeOf(content, At(20)) == std::nullopt);
}

} // namespace peridotspool::routing
