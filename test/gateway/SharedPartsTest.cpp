// ctest-labels: unit
#include "peridotspool/gateway/SharedParts.h"

#include <catch2/catch.hpp>

#include <string>

namespace peridotspool::gateway {

namespace {

using Parts = std::vector<PromptPartId>;

} // namespace

TEST_CASE("AllPartsButTheLastAreShared")
{
  CHECK(ParseSharedParts("a:10,b:20,c:30") ==
        Parts{ PromptPartId(0xa), PromptPartId(0xb) });
  CHECK(ParseSharedParts("a:10").empty());
  CHECK(ParseSharedParts("").empty());
  CHECK(ParseSharedParts(",,").empty());
}

TEST_CASE("PartsAreEqualWhereverTheyStandAndHoweverTheyAreWritten")
{
  const Parts expected{ PromptPartId(0x5c1e07a2) };
  CHECK(ParseSharedParts("5c1e07a2:800,1:2") == expected);
  CHECK(ParseSharedParts(" 5C1E07A2 : 1, 1:2") == expected);
  CHECK(ParseSharedParts("005c1e07a2,1:2") == expected);
  CHECK(ParseSharedParts("5c1e07a2:800,1:2,") == expected);
}

TEST_CASE("IdsThatAreNoNumbersAreDistinct")
{
  const Parts parts = ParseSharedParts("xyz:1,xyw:1,0123456789abcdef0:1,c:1");
  REQUIRE(parts.size() == 3);
  CHECK(parts[0] != parts[1]);
  CHECK(parts[1] != parts[2]);
  CHECK(parts[0] == ParseSharedParts("xyz:7,d:1")[0]);
}

TEST_CASE("AllPartsOfAVeryLongPromptAreRead")
{
  std::string many;
  for (int i = 0; i < 1500; ++i) {
    many += std::to_string(i) + ":1,";
  }
  CHECK(ParseSharedParts(many + "ffff:1").size() == 1500);
  for (int i = 0; i < 5; ++i) {
    many += many;
  }
  CHECK(ParseSharedParts(many).size() == 2048);
}

} // namespace peridotspool::gateway
