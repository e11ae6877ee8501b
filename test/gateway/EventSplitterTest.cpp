// ctest-labels: promise-whole-own-answer
#include "gateway/EventSplitter.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace peridotspool::gateway {

// Symptom: a resumed stream showed half an event and then a whole one.
// Sequence: an upstream stopped in the middle of an event, and another one went
// on after the last whole event.
// Cause: bytes were handed on as they came.
TEST_CASE("EventSplitterHandsOnWholeEventsOnly")
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

TEST_CASE("EventSplitterLosesNoByteHoweverTheBytesAreCut")
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
