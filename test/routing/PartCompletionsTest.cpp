// ctest-labels: unit
#include "peridotspool/routing/PartCompletions.h"

#include <catch2/catch.hpp>

namespace peridotspool::routing {

namespace {

TimePoint
At(int aSeconds)
{
  return TimePoint(std::chrono::seconds(5000 + aSeconds));
}

} // namespace

TEST_CASE("LastCompleteAnswerOfEachPartIsRememberedForTenMinutes")
{
  PartCompletions completions;
  CHECK(completions.AgeOf(PromptPartId(1), At(0)) == std::nullopt);
  completions.Record({ PromptPartId(1), PromptPartId(2) }, At(0));
  completions.Record({ PromptPartId(2) }, At(10));
  CHECK(completions.AgeOf(PromptPartId(1), At(30)) == std::chrono::seconds(30));
  CHECK(completions.AgeOf(PromptPartId(2), At(30)) == std::chrono::seconds(20));
  CHECK(completions.AgeOf(PromptPartId(1), At(600)) == std::nullopt);
}

// Guards against forgetting parts that are answered now and then because others
// are answered all the time.
TEST_CASE("OftenAnsweredPartsDoNotPushOutOthers")
{
  PartCompletions completions;
  for (std::uint64_t part = 1; part <= 1000; ++part) {
    completions.Record({ PromptPartId(part) }, At(0));
  }
  for (int i = 0; i < 10000; ++i) {
    completions.Record({ PromptPartId(5000) }, At(1));
  }
  int remembered = 0;
  for (std::uint64_t part = 1; part <= 1000; ++part) {
    remembered += completions.AgeOf(PromptPartId(part), At(2)) ? 1 : 0;
  }
  CHECK(remembered >= 950);
}

TEST_CASE("VeryLongPromptDoesNotReplaceAllThatIsRemembered")
{
  PartCompletions completions;
  completions.Record({ PromptPartId(1) }, At(0));
  std::vector<PromptPartId> many;
  for (std::uint64_t part = 2; part <= 2000; ++part) {
    many.emplace_back(part);
  }
  completions.Record(many, At(1));
  CHECK(completions.AgeOf(PromptPartId(1), At(2)).has_value());
}

} // namespace peridotspool::routing
