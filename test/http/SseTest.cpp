// ctest-labels: unit
#include "peridotspool/http/SseParser.h"
#include "peridotspool/http/SseWriter.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

namespace peridotspool::http {

namespace {

std::vector<SseEvent>
ParseInPieces(const std::string& aBytes, std::size_t aPieceSize)
{
  SseParser parser;
  LastReason reason;
  std::vector<SseEvent> events;
  for (std::size_t at = 0; at < aBytes.size(); at += aPieceSize) {
    const auto some = parser.Feed(aBytes.substr(at, aPieceSize), reason);
    REQUIRE(some);
    events.insert(events.end(), some->begin(), some->end());
  }
  return events;
}

} // namespace

TEST_CASE("EventsSurviveAnyCutIntoPieces")
{
  const std::vector<SseEvent> events{
    { .mId = "7", .mName = "token", .mData = R"({"text":"a: b"})" },
    { .mData = "two\nlines" },
    { .mId = "", .mName = "done", .mData = "" },
  };
  std::string bytes = FormatSseComment("still here");
  for (const SseEvent& event : events) {
    bytes += FormatSseEvent(event);
  }
  for (std::size_t size = 1; size <= bytes.size(); ++size) {
    CHECK(ParseInPieces(bytes, size) == events);
  }
}

TEST_CASE("AllLineEndsOfTheStandardAreUnderstood")
{
  const std::string bytes = "data:a\r\ndata: b\r\rid: 1\nevent: x\ndata\n\n";
  const std::vector<SseEvent> expected{
    { .mData = "a\nb" }, { .mId = "1", .mName = "x", .mData = "" }
  };
  for (std::size_t size = 1; size <= bytes.size(); ++size) {
    CHECK(ParseInPieces(bytes, size) == expected);
  }
}

TEST_CASE("EventOverTheBoundIsRefusedForGood")
{
  SseParser parser(100);
  LastReason reason;
  CHECK_FALSE(parser.Feed("data: " + std::string(200, 'x'), reason));
  CHECK(reason.IsSet());
  CHECK_FALSE(parser.Feed("\n\ndata: x\n\n", reason));
}

TEST_CASE("ManyEventsAndCommentsStayUnderTheBoundOfOne")
{
  SseParser parser(100);
  LastReason reason;
  for (int i = 0; i < 100; ++i) {
    REQUIRE(parser.Feed(FormatSseComment("beat"), reason));
    REQUIRE(parser.Feed("data: x\n\n", reason));
  }
}

TEST_CASE("AnyDataComesBackByteForByte")
{
  rc::prop("a written event is read as it was", [](std::string aData) {
    std::replace(aData.begin(), aData.end(), '\r', ' ');
    const SseEvent event{ .mId = "1", .mName = "token", .mData = aData };
    SseParser parser;
    LastReason reason;
    const auto read = parser.Feed(FormatSseEvent(event), reason);
    RC_ASSERT(read.has_value());
    RC_ASSERT(*read == std::vector<SseEvent>{ event });
  });
}

} // namespace peridotspool::http
