#pragma once

#include "peridotspool/gateway/Route.h"

#include <cstdint>

namespace peridotspool::gateway {

/** The progress of one request over its attempts. */
struct AttemptState
{
  RequestKind mKind = RequestKind::kNonIdempotent;
  /** Set if a stream can be resumed at another upstream. */
  bool mResumable = false;
  /** Upstreams that may have started to execute the request. */
  std::uint32_t mRuns = 0;
  std::uint32_t mMaxAttempts = 1;
  /** Upstreams that received an attempt and certainly did not execute it. */
  std::uint32_t mRefusals = 0;
  /** Set once part of the response has been sent to the caller. */
  bool mBegun = false;
  /** Set if the deadline leaves enough time for another attempt. */
  bool mTimeLeft = true;
};

enum class NextStep
{
  /** Send the request to another upstream if the retry budget allows it. */
  kRetryElsewhere,
  /** Report that the request was not executed, and when to retry. */
  kRefuse,
  /** Report that the request failed and may have been executed. */
  kFail,
  /** Close the connection: a partly sent response cannot be completed. */
  kAbort,
  /** Forward the upstream's error response to the caller. */
  kForward,
};

/** The last upstream certainly did not execute the request. */
NextStep
AfterNotExecuted(const AttemptState& aState);

/** The last upstream may have executed the request; its response is lost. */
NextStep
AfterLostResponse(const AttemptState& aState);

/** The last upstream executed the request and returned an error. */
NextStep
AfterUpstreamError(const AttemptState& aState);

} // namespace peridotspool::gateway
