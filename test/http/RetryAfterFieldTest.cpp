// ctest-labels: limits unit
#include "peridotspool/http/RetryAfterField.h"

#include <catch2/catch.hpp>

namespace peridotspool::http {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("TheWaitThatAResponseAsksForIsRead")
{
  CHECK(RetryAfterOf({}) == Duration(0));
  CHECK(RetryAfterOf({ { "retry-after", "2.5" } }) == milliseconds(2500));
  CHECK(RetryAfterOf({ { "retry-after", "" } }) == Duration(0));
  CHECK(RetryAfterOf({ { "retry-after", "soon" } }) == Duration(0));
}

// Guards against a date that is compared with a clock which may be wrong.
TEST_CASE("ADateCountsOnlyBesideTheResponsesOwn")
{
  const std::string date = "Sun, 06 Nov 1994 08:49:41 GMT";
  CHECK(RetryAfterOf({ { "retry-after", date } }) == Duration(0));
  CHECK(RetryAfterOf({ { "retry-after", date },
                       { "date", "Sun, 06 Nov 1994 08:49:37 GMT" } }) ==
        seconds(4));
}

} // namespace peridotspool::http
