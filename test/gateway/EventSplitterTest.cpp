// ctest-labels: promise-whole-own-answer
#include "gateway/EventSplitter.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace peridotspool::gateway {

// Guards against a resumed stream that contains part of an event before the
// complete one. This happens if bytes are relayed as they come, an upstream
// fails in the middle of an event, and another one resumes after the last
// complete event.
TEST_CASE("EventSplitterReturnsCompleteEventsOnly")
{
  EventSplitter splitter;
  CHECK(splitter.Append("id: 1\ndata: a\n").empty());
  CHECK(splitter.LastId().empty());
  CHECK(splitter.Append("\nid: 2\nda") == "id: 1\ndata: a\n\n");
  CHECK(splitter.LastId() == "1");
  CHECK(splitter.Incomplete() == "id: 2\nda");
  splitter.StartResponse();
  CHECK(splitter.Append("id:2\r\ndata: b\r\n\r\n") ==
        "id:2\r\ndata: b\r\n\r\n");
  CHECK(splitter.LastId() == "2");
}

// Guards against a complete stream that is taken for a broken-off one because
// of its line ends, and against events that wait for the next one.
TEST_CASE("EventSplitterAcceptsAllLineEnds")
{
  for (const std::string line : { "\n", "\r", "\r\n" }) {
    for (const std::string blank : { "\n", "\r", "\r\n" }) {
      if (line == "\r" && blank == "\n") {
        continue; // The two are one line end.
      }
      const std::string event = "id: 7" + line + "data: a" + line + blank;
      EventSplitter splitter;
      std::string seen;
      for (const char byte : event + event) {
        seen += splitter.Append(std::string(1, byte));
      }
      INFO("line ends " << int(line[0]) << " and " << int(blank[0]));
      const bool isHeld = line != "\r" && blank == "\r";
      CHECK(seen + splitter.Incomplete() == event + event);
      CHECK(splitter.IsInsideEvent() == isHeld);
      CHECK(seen.starts_with(event));
      CHECK(splitter.LastId() == "7");
    }
  }
}

TEST_CASE("EventSplitterTellsWhetherTheStreamIsInsideAnEvent")
{
  const auto isInside = [](const std::string& aText) {
    EventSplitter splitter;
    splitter.Append(aText);
    return splitter.IsInsideEvent();
  };
  const std::string event = "id: 1\ndata: a\n\n";
  CHECK_FALSE(isInside(event));
  CHECK_FALSE(isInside(event + ": comment\n"));
  CHECK_FALSE(isInside(event + "\n"));
  CHECK(isInside(event + ": comm"));
  CHECK(isInside(event + "data: b\n"));
  CHECK(isInside(event + "d"));
  CHECK(isInside("data: a\r\n\r"));
}

TEST_CASE("EventSplitterTellsWhetherTheResponseHadAnEvent")
{
  EventSplitter splitter;
  splitter.Append(": comment\n\n\n");
  CHECK_FALSE(splitter.HasEvent());
  splitter.Append("data: a\n\n");
  CHECK(splitter.HasEvent());
  splitter.StartResponse();
  CHECK_FALSE(splitter.HasEvent());
}

TEST_CASE("EventSplitterPreservesAllBytesForAnySplit")
{
  rc::prop("cuts", [] {
    std::string all;
    const int events = *rc::gen::inRange(1, 12);
    for (int i = 0; i < events; ++i) {
      all += "id: " + std::to_string(i) + "\ndata: xyz\n\n";
    }
    EventSplitter splitter;
    std::string seen;
    std::size_t place = 0;
    while (place < all.size()) {
      const auto length = *rc::gen::inRange<std::size_t>(1, 9);
      seen += splitter.Append(all.substr(place, length));
      place += length;
    }
    RC_ASSERT(seen == all);
    RC_ASSERT(splitter.Incomplete().empty());
    RC_ASSERT(splitter.LastId() == std::to_string(events - 1));
  });
}

} // namespace peridotspool::gateway
