// ctest-labels: unit
#include "peridotspool/gateway/ReadingTeller.h"

#include <catch2/catch.hpp>

namespace peridotspool::gateway {

namespace {

const UpstreamName kOne("u1");

TimePoint
At(int aMs)
{
  return TimePoint(std::chrono::seconds(1000) + std::chrono::milliseconds(aMs));
}

} // namespace

TEST_CASE("ALongPromptIsToldAtOnceAndAShortOneNever")
{
  ReadingTeller teller;
  CHECK_FALSE(teller.Add(kOne, 50000, At(0)));
  teller.UsePeers(9);
  CHECK_FALSE(teller.Add(kOne, 200, At(0)));
  const auto news = teller.Add(kOne, 50000, At(1));
  REQUIRE(news);
  CHECK(news->mLines ==
        std::vector<ReadingLine>{ { .mUpstream = kOne, .mTokens = 50000 } });
}

// Symptom: with hundreds of entries each spent its time on the others' news.
// Cause: one message for each prompt to each other entry.
TEST_CASE("MessagesASecondAreBoundedHoweverManyEntriesThereAre")
{
  for (const std::size_t peers : { 9U, 69U, 379U }) {
    ReadingTeller teller;
    teller.UsePeers(peers);
    std::size_t messages = 0;
    std::uint64_t told = 0;
    const auto take = [&](const std::optional<ReadingNews>& aNews) {
      messages += aNews ? peers : 0;
      for (const ReadingLine& line :
           aNews ? aNews->mLines : std::vector<ReadingLine>{}) {
        told += line.mTokens;
      }
    };
    for (int ms = 0; ms < 1000; ++ms) {
      take(teller.Add(kOne, 5000, At(ms)));
      take(teller.Tick(At(ms)));
    }
    take(teller.Tick(At(5000)));
    INFO(peers << " others: " << messages << " messages in a second");
    CHECK(messages <= 167 + 2 * peers);
    CHECK(told == 5000 * 1000);
  }
}

} // namespace peridotspool::gateway
