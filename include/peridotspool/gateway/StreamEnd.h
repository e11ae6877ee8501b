#pragma once

#include "peridotspool/gateway/BodyFraming.h"

#include <boost/describe/enum.hpp>

#include <compare>

namespace peridotspool::gateway {

/** What the end of a stream of events proves. */
enum class StreamEnd
{
  kComplete,
  /** The stream was broken off inside an event. */
  kInsideEvent,
  /** Nothing tells the end from that of an upstream that failed. */
  kNoEvent,
};
BOOST_DESCRIBE_ENUM(StreamEnd, kComplete, kInsideEvent, kNoEvent)

/** A stream whose response has ended without an error. */
struct StreamEndFacts
{
  BodyFraming mFraming = BodyFraming::kLength;
  /** The response contained at least one complete event. */
  bool mHasEvent = false;
  bool mInsideEvent = false;

  auto operator<=>(const StreamEndFacts&) const = default;
};

StreamEnd
JudgeStreamEnd(const StreamEndFacts& aFacts);

} // namespace peridotspool::gateway
