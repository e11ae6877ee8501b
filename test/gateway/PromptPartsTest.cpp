// ctest-labels: unit
#include "peridotspool/gateway/PromptParts.h"

#include <catch2/catch.hpp>

#include <string>

namespace peridotspool::gateway {

TEST_CASE("PrefixAffinityExcludesTheRequestsOwnPart")
{
  const auto affinity = [](const char* aText) {
    return ParsePromptParts(aText).mAffinity;
  };
  CHECK(affinity("a:10,b:20,c:30") == affinity("a:10,b:20,d:5"));
  CHECK(affinity("a:10,b:20,c:30") != affinity("a:10,x:20,c:30"));
  CHECK(affinity("c:30") == 0);
  CHECK(affinity("") == 0);
}

TEST_CASE("TokensAreCountedByPart")
{
  const PromptParts parts = ParsePromptParts("a:10,b:20,c:30");
  CHECK(parts.mSharedTokens == 30);
  CHECK(parts.mOwnTokens == 30);
  CHECK(ParsePromptParts("c:30").Tokens() == 30);
  CHECK(ParsePromptParts("a,b:x,c:").Tokens() == 0);
  CHECK(ParsePromptParts("a:99999999999999").Tokens() == 10000000);
}

TEST_CASE("PartIdsCoverAllPrecedingParts")
{
  const auto one = ParsePromptParts("a:10,b:20,c:30").mParts;
  const auto same = ParsePromptParts("a:10,b:20,d:5").mParts;
  const auto other = ParsePromptParts("x:10,b:20,c:30").mParts;
  REQUIRE(one.size() == 3);
  CHECK(one[1].mTokens == 20);
  CHECK(one[1] == same[1]);
  CHECK(one[2].mId != same[2].mId);
  CHECK(one[1].mId != other[1].mId);
  // A header with thousands of parts must not produce messages of that size.
  std::string many;
  for (int i = 0; i < 1000; ++i) {
    many += "p" + std::to_string(i) + ":1,";
  }
  CHECK(ParsePromptParts(many).mParts.size() == 16);
  CHECK(ParsePromptParts(many).Tokens() == 1000);
}

} // namespace peridotspool::gateway
