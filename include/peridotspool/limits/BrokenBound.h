#pragma once

#include "peridotspool/base/Time.h"

#include <boost/describe/enum.hpp>

#include <cstdint>

namespace peridotspool::limits {

/** The bounds that a response of an upstream can break. */
enum class ResponseBound
{
  /** The bytes are no HTTP response. */
  kNotHttp,
  kHeadBytes,
  kHeadFields,
  kHeadTime,
  kInterimResponses,
  /** Late responses to other requests. */
  kSkippedResponses,
  kSkippedBytes,
  kSkippedTime,
  /** Chunk headers with their extensions, and trailers. */
  kFramingBytes,
  kFramingFields,
  kFramingTime,
  /** The head announces a body over the bound. */
  kAnnouncedLength,
  kBodyBytes,
  kEventBytes,
  kEventTime,
  /** The unfinished responses of one upstream. */
  kUpstreamMemory,
  /** The unfinished responses of all upstreams. */
  kTotalMemory,
};
BOOST_DESCRIBE_ENUM(ResponseBound,
                    kNotHttp,
                    kHeadBytes,
                    kHeadFields,
                    kHeadTime,
                    kInterimResponses,
                    kSkippedResponses,
                    kSkippedBytes,
                    kSkippedTime,
                    kFramingBytes,
                    kFramingFields,
                    kFramingTime,
                    kAnnouncedLength,
                    kBodyBytes,
                    kEventBytes,
                    kEventTime,
                    kUpstreamMemory,
                    kTotalMemory)

/** The part of a response that broke a bound. */
enum class ResponsePhase
{
  kHead,
  kSkipped,
  kFraming,
  kBody,
  kEvent,
  /** Any part; the response was ended to free memory. */
  kHeld,
};
BOOST_DESCRIBE_ENUM(ResponsePhase,
                    kHead,
                    kSkipped,
                    kFraming,
                    kBody,
                    kEvent,
                    kHeld)

/** Which bound a response broke, and by what. */
struct BrokenBound
{
  ResponseBound mBound = ResponseBound::kNotHttp;
  ResponsePhase mPhase = ResponsePhase::kHead;
  /** Bytes of the phase, as far as they had arrived or were announced. */
  std::uint64_t mBytes = 0;
  /** Time during which bytes of the phase arrived. */
  Duration mTime{ 0 };
};

} // namespace peridotspool::limits
