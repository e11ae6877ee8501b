#include "peridotspool/gateway/AttemptPolicy.h"

namespace peridotspool::gateway {

namespace {

/** Refusing upstreams that are tried before the caller is asked to retry. */
constexpr std::uint32_t kMaxRefusals = 4;

// A resumable stream is retried like an idempotent call. Any other stream
// counts as non-idempotent, because events of the two attempts can't be told
// apart.
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
  // The caller may be told "not executed" only if that holds for every upstream
  // that received an attempt, not only for the last one.
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
