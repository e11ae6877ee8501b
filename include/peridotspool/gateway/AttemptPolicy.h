#pragma once

#include "peridotspool/gateway/Route.h"

#include <cstdint>

namespace peridotspool::gateway {

/** How far one request has come. */
struct AttemptState
{
  RequestKind mKind = RequestKind::kNonIdempotent;
  bool mResumable = false;
  /** Upstreams that may have begun to run it. */
  std::uint32_t mRuns = 0;
  std::uint32_t mMaxAttempts = 1;
  /** Upstreams that were asked and surely did not run it. */
  std::uint32_t mRefusals = 0;
  /** The caller has a part of the answer. */
  bool mBegun = false;
  /** Enough time is left for another upstream. */
  bool mTimeLeft = true;
};

enum class NextStep
{
  /** Send it to another upstream, if the budget of repeats allows it. */
  kRetryElsewhere,
  /** Tell the caller that it did not run, and when to come back. */
  kRefuse,
  /** Tell the caller that it failed, and may have run. */
  kFail,
  /** End the connection: the answer under way can't be made whole. */
  kAbort,
  /** Hand the upstream's own answer on. */
  kForward,
};

/** The last upstream said, or is known, not to have run the request. */
NextStep
AfterNotExecuted(const AttemptState& aState);

/** The last upstream may have run the request, and its answer is lost. */
NextStep
AfterLostResponse(const AttemptState& aState);

/** The last upstream ran the request and says that it failed. */
NextStep
AfterUpstreamError(const AttemptState& aState);

} // namespace peridotspool::gateway
