// ctest-labels: unit
#include "http/HeadScanner.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace peridotspool::http {

namespace {

std::string
HeadWith(const std::string& aLine)
{
  return "HTTP/1.1 200 OK\r\nA: b\r\n" + aLine + "\r\nC: d\r\n\r\n";
}

} // namespace

TEST_CASE("FieldsOfEachKindOfTokenAreAccepted")
{
  CHECK(HeadScanner::HasFieldNames("HTTP/1.1 200 OK\r\n\r\n"));
  CHECK(HeadScanner::HasFieldNames(HeadWith("X-y_Z.9!#$%&'*+^`|~: v: w ")));
  CHECK(HeadScanner::HasFieldNames(HeadWith("X:")));
}

TEST_CASE("AHeadWithoutItsEndHasNoFieldNames")
{
  CHECK_FALSE(HeadScanner::HasFieldNames(""));
  CHECK_FALSE(HeadScanner::HasFieldNames("HTTP/1.1 200 OK\r\nA: b\r\n"));
}

TEST_CASE("NoNameHoldsACharacterThatIsNoToken")
{
  rc::prop("a name with a control byte, blank or separator is rejected", [] {
    const auto bad = *rc::gen::elementOf(
      std::string("\x00\x01\t\x0b\x1f \"(),/;<=>?@[]{}\x7f\x80\xff", 27));
    std::string name = *rc::gen::nonEmpty(
      rc::gen::container<std::string>(rc::gen::inRange('a', 'z')));
    const auto place = *rc::gen::inRange<std::size_t>(0, name.size() + 1);
    name.insert(place, 1, bad);
    RC_ASSERT(!HeadScanner::HasFieldNames(HeadWith(name + ": v")));
  });
}

} // namespace peridotspool::http
