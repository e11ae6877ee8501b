#include "peridotspool/gateway/AttemptPolicy.h"

namespace peridotspool::gateway {

namespace {

/** Upstreams asked in vain before the caller is told to come back. */
constexpr std::uint32_t kMostRefusals = 4;

// A stream that may be resumed is repeated like an idempotent call; any other
// stream is as good as non-idempotent: its events can't be told apart.
bool
MayRepeat(const AttemptFacts& aFacts)
{
  return aFacts.mKind == RequestKind::kIdempotent ||
         (aFacts.mKind == RequestKind::kStreaming && aFacts.mResumable);
}

bool
MayRunAgain(const AttemptFacts& aFacts)
{
  return MayRepeat(aFacts) && aFacts.mRuns < aFacts.mMaxAttempts &&
         aFacts.mTimeLeft;
}

} // namespace

NextStep
AfterNotRun(const AttemptFacts& aFacts)
{
  if (aFacts.mTimeLeft && aFacts.mRefusals < kMostRefusals &&
      aFacts.mRuns < aFacts.mMaxAttempts) {
    return NextStep::kTryAnother;
  }
  if (aFacts.mBegun) {
    return NextStep::kBreakOff;
  }
  // "Did not run" must be true of all upstreams that were asked, not only of
  // the last one.
  return aFacts.mRuns == 0 ? NextStep::kRefuse : NextStep::kFail;
}

NextStep
AfterLost(const AttemptFacts& aFacts)
{
  if (MayRunAgain(aFacts)) {
    return NextStep::kTryAnother;
  }
  return aFacts.mBegun ? NextStep::kBreakOff : NextStep::kFail;
}

NextStep
AfterFailure(const AttemptFacts& aFacts)
{
  if (MayRunAgain(aFacts)) {
    return NextStep::kTryAnother;
  }
  return NextStep::kPassOn;
}

} // namespace peridotspool::gateway
