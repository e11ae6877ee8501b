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
  splitter.DropIncomplete();
  CHECK(splitter.Append("id:2\r\ndata: b\r\n\r\n") ==
        "id:2\r\ndata: b\r\n\r\n");
  CHECK(splitter.LastId() == "2");
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
