// ctest-labels: promise-whole-own-answer
#include "peridotspool/gateway/StreamEnd.h"

#include <catch2/catch.hpp>

namespace peridotspool::gateway {

TEST_CASE("AStreamThatEndsAfterAnEventIsComplete")
{
  for (const BodyFraming framing : { BodyFraming::kLength,
                                     BodyFraming::kChunked,
                                     BodyFraming::kConnection }) {
    CHECK(JudgeStreamEnd({ .mFraming = framing, .mHasEvent = true }) ==
          StreamEnd::kComplete);
  }
}

TEST_CASE("AStreamThatEndsInsideAnEventIsBrokenOffHoweverItIsFramed")
{
  for (const BodyFraming framing : { BodyFraming::kLength,
                                     BodyFraming::kChunked,
                                     BodyFraming::kConnection }) {
    for (const bool hasEvent : { false, true }) {
      CHECK(JudgeStreamEnd({ .mFraming = framing,
                             .mHasEvent = hasEvent,
                             .mInsideEvent = true }) ==
            StreamEnd::kInsideEvent);
    }
  }
}

// Guards against an upstream that crashes before its first event and seems to
// have had nothing to say.
TEST_CASE("AnEmptyStreamIsCompleteOnlyIfItsFramingSaysSo")
{
  CHECK(JudgeStreamEnd({ .mFraming = BodyFraming::kLength }) ==
        StreamEnd::kComplete);
  CHECK(JudgeStreamEnd({ .mFraming = BodyFraming::kChunked }) ==
        StreamEnd::kComplete);
  CHECK(JudgeStreamEnd({ .mFraming = BodyFraming::kConnection }) ==
        StreamEnd::kNoEvent);
}

} // namespace peridotspool::gateway
