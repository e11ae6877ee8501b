// ctest-labels: unit
#include "peridotspool/gateway/PrefixCacheModel.h"

#include <catch2/catch.hpp>

namespace peridotspool::gateway {

namespace {

std::vector<PromptPart>
Prompt(std::uint64_t aShared, std::uint64_t aOwn)
{
  return { { .mId = aShared, .mTokens = 100 },
           { .mId = aShared * 1000 + aOwn, .mTokens = 10 } };
}

} // namespace

TEST_CASE("WhatWasUsedIsKeptFromTheBeginOfThePrompt")
{
  PrefixCacheModel memory;
  memory.RecordUse(Prompt(1, 1), 1000);
  CHECK(memory.CachedTokens(Prompt(1, 1)) == 110);
  CHECK(memory.CachedTokens(Prompt(1, 2)) == 100);
  CHECK(memory.CachedTokens(Prompt(2, 1)) == 0);
  // A part is of no use without those before it.
  CHECK(memory.CachedTokens({ { .mId = 9, .mTokens = 5 }, Prompt(1, 1)[1] }) ==
        0);
}

TEST_CASE("ThePartsUsedLongestAgoYield")
{
  PrefixCacheModel memory;
  for (std::uint64_t subject = 1; subject <= 4; ++subject) {
    memory.RecordUse(Prompt(subject, 1), 350);
  }
  CHECK(memory.Tokens() <= 350);
  CHECK(memory.CachedTokens(Prompt(1, 1)) == 0);
  CHECK(memory.CachedTokens(Prompt(4, 1)) == 110);
  memory.RecordUse(Prompt(2, 2), 350);
  memory.RecordUse(Prompt(5, 1), 350);
  CHECK(memory.CachedTokens(Prompt(2, 3)) == 100);
  CHECK(memory.CachedTokens(Prompt(3, 1)) == 0);
}

TEST_CASE("PartsWithoutTokensTakeNoMemoryWithoutEnd")
{
  PrefixCacheModel memory;
  for (std::uint64_t id = 1; id <= 10000; ++id) {
    memory.RecordUse({ { .mId = id, .mTokens = 0 } }, 1000);
  }
  CHECK(memory.CachedTokens({ { .mId = 1, .mTokens = 7 } }) == 0);
  CHECK(memory.CachedTokens({ { .mId = 10000, .mTokens = 7 } }) == 7);
}

} // namespace peridotspool::gateway
