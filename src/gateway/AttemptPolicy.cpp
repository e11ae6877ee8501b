#include "peridotspool/gateway/AttemptPolicy.h"

namespace peridotspool::gateway {

namespace {

/** Upstreams asked in vain before the caller is told to come back. */
constexpr std::uint32_t kMaxRefusals = 4;

// A stream that may be resumed is repeated like an idempotent call; any other
// stream is as good as non-idempotent: its events can't be told apart.
bool
IsRetryable(const AttemptState& aState)
{
  return aState.mKind == RequestKind::kIdempotent ||
         (aState.mKind == RequestKind::kStreaming && aState.mResumable);
}

bool
CanRetry(const AttemptState& aState)
{
  return IsRetryable(aState) && aState.mRuns < aState.mMaxAttempts &&
         aState.mTimeLeft;
}

} // namespace

NextStep
AfterNotExecuted(const AttemptState& aState)
{
  if (aState.mTimeLeft && aState.mRefusals < kMaxRefusals &&
      aState.mRuns < aState.mMaxAttempts) {
    return NextStep::kRetryElsewhere;
  }
  if (aState.mBegun) {
    return NextStep::kAbort;
  }
  // "Did not run" must be true of all upstreams that were asked, not only of
  // the last one.
  return aState.mRuns == 0 ? NextStep::kRefuse : NextStep::kFail;
}

NextStep
AfterLostResponse(const AttemptState& aState)
{
  if (CanRetry(aState)) {
    return NextStep::kRetryElsewhere;
  }
  return aState.mBegun ? NextStep::kAbort : NextStep::kFail;
}

NextStep
AfterUpstreamError(const AttemptState& aState)
{
  if (CanRetry(aState)) {
    return NextStep::kRetryElsewhere;
  }
  return NextStep::kForward;
}

} // namespace peridotspool::gateway
