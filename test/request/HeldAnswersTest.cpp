// ctest-labels: hostile unit
#include "request/HeldAnswers.h"

#include <catch2/catch.hpp>

namespace peridotspool::request {

namespace {

const UpstreamName kFaulty("engine-1");
const UpstreamName kSound("engine-2");
constexpr limits::ResponseBounds kBounds{ .mResponseBytes = 60,
                                          .mTotalBytes = 100 };

RequestKey
Key(const std::string& aName)
{
  return { CustomerName("lefkada"), aName };
}

} // namespace

TEST_CASE("AnAnswerOverItsBoundIsTakenOut")
{
  HeldAnswers held({ .mResponseBytes = 60, .mTotalBytes = 1000 });
  held.Set(Key("plan"), kFaulty, 60);
  CHECK_FALSE(held.TakeOverrun(Key("plan")));
  held.Set(Key("plan"), kFaulty, 61);
  const auto overrun = held.TakeOverrun(Key("plan"));
  REQUIRE(overrun);
  CHECK(overrun->mKey == Key("plan"));
  CHECK(overrun->mBound == Tally::kBoundBodyBytes);
  CHECK(held.Bytes() == 0);
  CHECK_FALSE(held.TakeOverrun(Key("plan")));
}

// Guards against one upstream whose answers leave no room for those of others.
TEST_CASE("AnUpstreamOverItsPartLosesItsLargestAnswer")
{
  HeldAnswers held(kBounds);
  held.Set(Key("other"), kSound, 49);
  held.Set(Key("small"), kFaulty, 10);
  held.Set(Key("large"), kFaulty, 41);
  const auto overrun = held.TakeOverrun(Key("small"));
  REQUIRE(overrun);
  CHECK(overrun->mKey == Key("large"));
  CHECK(overrun->mBound == Tally::kBoundUpstreamMemory);
  CHECK_FALSE(held.TakeOverrun(Key("small")));
  CHECK(held.Bytes() == 59);
}

TEST_CASE("TheLargestAnswerOfAllIsTakenOutOverTheTotal")
{
  HeldAnswers held(kBounds);
  held.Set(Key("first"), kSound, 45);
  held.Set(Key("second"), kFaulty, 40);
  CHECK_FALSE(held.TakeOverrun(Key("second")));
  held.Set(Key("third"), UpstreamName("engine-3"), 20);
  const auto overrun = held.TakeOverrun(Key("third"));
  REQUIRE(overrun);
  CHECK(overrun->mKey == Key("first"));
  CHECK(overrun->mBound == Tally::kBoundTotalMemory);
  CHECK_FALSE(held.TakeOverrun(Key("third")));
}

TEST_CASE("AnAnswerThatIsCompleteIsNotCounted")
{
  HeldAnswers held(kBounds);
  held.Set(Key("plan"), kSound, 40);
  held.Set(Key("plan"), {}, 0);
  CHECK(held.Bytes() == 0);
  held.Set(Key("unknown"), {}, 0);
  held.Set(Key("plan"), kFaulty, 30);
  CHECK(held.Bytes() == 30);
}

} // namespace peridotspool::request
