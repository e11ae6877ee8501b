// ctest-labels: limits unit
#include "peridotspool/limits/RetryAfter.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <string>

namespace peridotspool::limits {

namespace {

using Kind = RetryAfterStatement::Kind;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::sys_seconds;

/** Sun, 06 Nov 1994 08:49:37 GMT */
constexpr sys_seconds kNow{ seconds(784111777) };

RetryAfterStatement
Parse(const std::vector<std::string_view>& aValues,
      std::string_view aSentAt = "")
{
  return ParseRetryAfter(aValues, aSentAt, kNow);
}

RetryAfterStatement
Wait(Duration aWait)
{
  return { .mKind = Kind::kWait, .mWait = aWait };
}

} // namespace

TEST_CASE("SecondsMayHaveAFraction")
{
  CHECK(Parse({ "3" }) == Wait(seconds(3)));
  CHECK(Parse({ "0.25" }) == Wait(milliseconds(250)));
  CHECK(Parse({ "2." }) == Wait(seconds(2)));
  CHECK(Parse({ ".5" }) == Wait(milliseconds(500)));
}

TEST_CASE("NoValueAndNoTimeAskForNothing")
{
  CHECK(Parse({}).mKind == Kind::kNone);
  CHECK(Parse({ "0" }).mKind == Kind::kNone);
  CHECK(Parse({ "0.0" }).mKind == Kind::kNone);
}

// Guards against a malformed time that takes an upstream out of use.
TEST_CASE("UnreadableAndNegativeTimesAreInvalid")
{
  for (const char* value : { "",
                             "-3",
                             "+3",
                             "soon",
                             "3s",
                             "1e3",
                             "nan",
                             "inf",
                             "1,2",
                             "0x10",
                             "1.2.3",
                             ".",
                             "3 3",
                             "-0",
                             "--",
                             "Sun",
                             "\x01",
                             "3;q=1",
                             "Sun, 06 Nov 1994 08:49:37" }) {
    INFO("value '" << value << "'");
    CHECK(Parse({ value }).mKind == Kind::kInvalid);
  }
}

// Guards against a time beyond the range of numbers that counts as none.
TEST_CASE("EndlessTimesAreCut")
{
  CHECK(Parse({ "86401" }) == Wait(kMaxRetryAfter));
  CHECK(Parse({ "99999999999999999999999" }) == Wait(kMaxRetryAfter));
  CHECK(Parse({ std::string(500, '9') }) == Wait(kMaxRetryAfter));
  const std::string tiny = "0." + std::string(500, '0') + "1";
  CHECK(Parse({ tiny }).mKind == Kind::kNone);
  CHECK(Parse({ "Fri, 31 Dec 9999 23:59:59 GMT" }) == Wait(kMaxRetryAfter));
}

TEST_CASE("AllThreeFormatsOfDatesAreRead")
{
  CHECK(Parse({ "Sun, 06 Nov 1994 08:49:41 GMT" }) == Wait(seconds(4)));
  CHECK(Parse({ "Sunday, 06-Nov-94 08:49:41 GMT" }) == Wait(seconds(4)));
  CHECK(Parse({ "Sun Nov  6 08:49:41 1994" }) == Wait(seconds(4)));
  CHECK(Parse({ "Sun, 06 Nov 1994 08:49:37 GMT" }).mKind == Kind::kNone);
  CHECK(Parse({ "Fri, 31 Dec 1993 23:59:59 GMT" }).mKind == Kind::kNone);
}

// Guards against clocks of two machines that differ by more than the rest.
TEST_CASE("ADateIsComparedWithTheDateOfItsResponse")
{
  const std::string_view date = "Sun, 06 Nov 1994 10:00:05 GMT";
  CHECK(Parse({ date }, "Sun, 06 Nov 1994 10:00:00 GMT") == Wait(seconds(5)));
  CHECK(Parse({ date }, "yesterday") == Wait(seconds(4228)));
  CHECK(ParseRetryAfter({ date }, "", std::nullopt).mKind == Kind::kInvalid);
}

TEST_CASE("OfSeveralValuesTheLongestCounts")
{
  CHECK(Parse({ "2", "5", "soon" }) == Wait(seconds(5)));
  CHECK(Parse({ "soon", "later" }).mKind == Kind::kInvalid);
}

TEST_CASE("AnyTextIsReadWithinItsBounds")
{
  CHECK(rc::check("no text gives a wait outside its bounds", [] {
    const auto text = *rc::gen::arbitrary<std::string>();
    const auto statement = Parse({ text }, text);
    RC_ASSERT(statement.mWait >= Duration(0));
    RC_ASSERT(statement.mWait <= kMaxRetryAfter);
    RC_ASSERT((statement.mWait > Duration(0)) ==
              (statement.mKind == Kind::kWait));
  }));
}

} // namespace peridotspool::limits
