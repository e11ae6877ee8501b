// ctest-labels: unit limits
#include "peridotspool/limits/RateStatement.h"

#include <catch2/catch.hpp>

namespace peridotspool::limits {

using Kind = RateStatement::Kind;

TEST_CASE("ADecimalNumberIsALimit")
{
  CHECK(ParseRateStatement({ "0.2" }) == RateStatement{ Kind::kLimit, 0.2 });
  CHECK(ParseRateStatement({ "1" }) == RateStatement{ Kind::kLimit, 1.0 });
  CHECK(ParseRateStatement({ "50.0" }) == RateStatement{ Kind::kLimit, 50.0 });
}

TEST_CASE("AResponseWithoutTheFieldStatesNoLimit")
{
  CHECK(ParseRateStatement({}).mKind == Kind::kNone);
}

// Guards against a malformed limit that stops an upstream's traffic or lifts
// its limit.
TEST_CASE("AnUnreadableLimitIsInvalid")
{
  const auto text = GENERATE("",
                             " ",
                             "fast",
                             "-1",
                             "0",
                             "0.0000001",
                             "nan",
                             "inf",
                             "-inf",
                             "1e3",
                             "1e400",
                             "99999999",
                             "1,2",
                             "1 2",
                             "0x10",
                             "1.0.0",
                             "+1",
                             "\xff\xfe");
  INFO("value: '" << text << "'");
  CHECK(ParseRateStatement({ text }).mKind == Kind::kInvalid);
}

TEST_CASE("ARepeatedFieldIsInvalid")
{
  CHECK(ParseRateStatement({ "1", "1" }).mKind == Kind::kInvalid);
}

} // namespace peridotspool::limits
