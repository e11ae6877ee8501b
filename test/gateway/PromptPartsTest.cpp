// ctest-labels: unit
#include "peridotspool/gateway/PromptParts.h"

#include <catch2/catch.hpp>

namespace peridotspool::gateway {

TEST_CASE("PrefixAffinityLeavesTheRequestsOwnPartOut")
{
  const auto affinity = [](const char* aText) {
    return ReadPromptParts(aText).mAffinity;
  };
  CHECK(affinity("a:10,b:20,c:30") == affinity("a:10,b:20,d:5"));
  CHECK(affinity("a:10,b:20,c:30") != affinity("a:10,x:20,c:30"));
  CHECK(affinity("c:30") == 0);
  CHECK(affinity("") == 0);
}

TEST_CASE("TokensAreCountedByPart")
{
  const PromptParts parts = ReadPromptParts("a:10,b:20,c:30");
  CHECK(parts.mShared == 30);
  CHECK(parts.mOwn == 30);
  CHECK(ReadPromptParts("c:30").Tokens() == 30);
  CHECK(ReadPromptParts("a,b:x,c:").Tokens() == 0);
  CHECK(ReadPromptParts("a:99999999999999").Tokens() == 10000000);
}

} // namespace peridotspool::gateway
