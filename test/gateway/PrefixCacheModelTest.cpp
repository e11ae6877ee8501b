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

TEST_CASE("CachedTokensCountFromTheStartOfThePrompt")
{
  PrefixCacheModel cache;
  cache.RecordUse(Prompt(1, 1), 1000);
  CHECK(cache.CachedTokens(Prompt(1, 1)) == 110);
  CHECK(cache.CachedTokens(Prompt(1, 2)) == 100);
  CHECK(cache.CachedTokens(Prompt(2, 1)) == 0);
  // A part is reusable only together with those before it.
  CHECK(cache.CachedTokens({ { .mId = 9, .mTokens = 5 }, Prompt(1, 1)[1] }) ==
        0);
}

TEST_CASE("LeastRecentlyUsedPartsAreEvicted")
{
  PrefixCacheModel cache;
  for (std::uint64_t prefix = 1; prefix <= 4; ++prefix) {
    cache.RecordUse(Prompt(prefix, 1), 350);
  }
  CHECK(cache.Tokens() <= 350);
  CHECK(cache.CachedTokens(Prompt(1, 1)) == 0);
  CHECK(cache.CachedTokens(Prompt(4, 1)) == 110);
  cache.RecordUse(Prompt(2, 2), 350);
  cache.RecordUse(Prompt(5, 1), 350);
  CHECK(cache.CachedTokens(Prompt(2, 3)) == 100);
  CHECK(cache.CachedTokens(Prompt(3, 1)) == 0);
}

TEST_CASE("PartsWithoutTokensUseBoundedMemory")
{
  PrefixCacheModel cache;
  for (std::uint64_t id = 1; id <= 10000; ++id) {
    cache.RecordUse({ { .mId = id, .mTokens = 0 } }, 1000);
  }
  CHECK(cache.CachedTokens({ { .mId = 1, .mTokens = 7 } }) == 0);
  CHECK(cache.CachedTokens({ { .mId = 10000, .mTokens = 7 } }) == 7);
}

} // namespace peridotspool::gateway
