// ctest-labels: unit
#include "peridotspool/gateway/TokenCounts.h"

#include <catch2/catch.hpp>

namespace peridotspool::gateway {

TEST_CASE("TokenCountsAreTwoWholeNumbers")
{
  CHECK(ParseTokenCounts("1460,80") ==
        TokenCounts{ .mPrompt = 1460, .mMaxOutput = 80 });
  for (const char* text :
       { "", "1460", "1460,", ",80", "a,1", "1,-2", "1,2,3" }) {
    INFO(text);
    CHECK_FALSE(ParseTokenCounts(text));
  }
}

TEST_CASE("TokenCountsAreClampedToWhatAnEngineCanHold")
{
  const auto counts = ParseTokenCounts("18446744073709551615,3");
  REQUIRE(counts.has_value());
  CHECK(counts->mPrompt == 10000000);
  CHECK(counts->mMaxOutput == 3);
  CHECK(MaxGenerationTime(*ParseTokenCounts("1,18446744073709551615")) >
        Duration(0));
}

} // namespace peridotspool::gateway
