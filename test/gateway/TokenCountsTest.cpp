// ctest-labels: unit
#include "peridotspool/gateway/TokenCounts.h"

#include <catch2/catch.hpp>

namespace peridotspool::gateway {

TEST_CASE("TokenCountsAreTwoWholeNumbers")
{
  CHECK(ReadTokenCounts("1460,80") ==
        TokenCounts{ .mPrompt = 1460, .mAnswer = 80 });
  for (const char* text :
       { "", "1460", "1460,", ",80", "a,1", "1,-2", "1,2,3" }) {
    INFO(text);
    CHECK_FALSE(ReadTokenCounts(text));
  }
}

} // namespace peridotspool::gateway
