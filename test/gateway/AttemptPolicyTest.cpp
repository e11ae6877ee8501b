// ctest-labels: promise-at-most-once promise-refusal-did-not-run
#include "peridotspool/gateway/AttemptPolicy.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace peridotspool::gateway {

namespace {

AttemptState
AnyState()
{
  return AttemptState{
    .mKind = *rc::gen::element(RequestKind::kIdempotent,
                               RequestKind::kNonIdempotent,
                               RequestKind::kStreaming),
    .mResumable = *rc::gen::arbitrary<bool>(),
    .mRuns = *rc::gen::inRange<std::uint32_t>(0, 4),
    .mMaxAttempts = *rc::gen::inRange<std::uint32_t>(1, 4),
    .mRefusals = *rc::gen::inRange<std::uint32_t>(0, 6),
    .mBegun = *rc::gen::arbitrary<bool>(),
    .mTimeLeft = *rc::gen::arbitrary<bool>(),
  };
}

bool
IsRetryable(const AttemptState& aState)
{
  return aState.mKind == RequestKind::kIdempotent ||
         (aState.mKind == RequestKind::kStreaming && aState.mResumable);
}

} // namespace

// Symptom: a repaste order reached two crews.
// Sequence: an upstream took the order, its connection broke, the order was
// sent to another upstream.
// Cause: a lost answer was taken for a request that did not run.
TEST_CASE("ARequestThatMayRunOnceIsNeverSentAgainAfterALostAnswer")
{
  rc::prop("AfterLost", [] {
    AttemptState state = AnyState();
    state.mRuns = std::max<std::uint32_t>(1, state.mRuns);
    const NextStep step = AfterLostResponse(state);
    if (!IsRetryable(state) || state.mRuns >= state.mMaxAttempts) {
      RC_ASSERT(step != NextStep::kRetryElsewhere);
    }
    RC_ASSERT(step != NextStep::kRefuse);
  });
}

// Symptom: a caller was told that its request had not run, and it had.
// Sequence: the first upstream took the request and broke, the second one said
// that it was full.
// Cause: only the last upstream's word was passed on.
TEST_CASE("ARefusalIsGivenOnlyWhenNoUpstreamMayHaveRunTheRequest")
{
  rc::prop("AfterNotRun", [] {
    const AttemptState state = AnyState();
    const NextStep step = AfterNotExecuted(state);
    if (step == NextStep::kRefuse) {
      RC_ASSERT(state.mRuns == 0U);
      RC_ASSERT(!state.mBegun);
    }
    if (step == NextStep::kRetryElsewhere) {
      RC_ASSERT(state.mTimeLeft);
      RC_ASSERT(state.mRuns < state.mMaxAttempts);
    }
  });
}

TEST_CASE("AnAnswerThatHasBegunIsNeverFollowedByAnotherOne")
{
  rc::prop("begun", [] {
    AttemptState state = AnyState();
    state.mBegun = true;
    state.mRuns = std::max<std::uint32_t>(1, state.mRuns);
    for (const NextStep step :
         { AfterNotExecuted(state), AfterLostResponse(state) }) {
      RC_ASSERT(step == NextStep::kRetryElsewhere || step == NextStep::kAbort);
    }
  });
}

TEST_CASE("AnUpstreamsOwnFailureIsRepeatedOnlyWhereItMayRunAgain")
{
  AttemptState state{ .mKind = RequestKind::kIdempotent,
                      .mRuns = 1,
                      .mMaxAttempts = 2 };
  CHECK(AfterUpstreamError(state) == NextStep::kRetryElsewhere);
  state.mRuns = 2;
  CHECK(AfterUpstreamError(state) == NextStep::kForward);
  state = { .mKind = RequestKind::kNonIdempotent,
            .mRuns = 1,
            .mMaxAttempts = 2 };
  CHECK(AfterUpstreamError(state) == NextStep::kForward);
}

// Symptom: callers of streams got an upstream's 500 for seconds while other
// upstreams worked.
// Sequence: one upstream failed streams before their first event.
// Cause: a stream that may be resumed was not taken for one that may run again.
TEST_CASE("AStreamThatMayBeResumedIsTriedElsewhereWhenItsUpstreamFails")
{
  AttemptState state{ .mKind = RequestKind::kStreaming,
                      .mResumable = true,
                      .mRuns = 1,
                      .mMaxAttempts = 2 };
  CHECK(AfterUpstreamError(state) == NextStep::kRetryElsewhere);
  state.mResumable = false;
  CHECK(AfterUpstreamError(state) == NextStep::kForward);
}

} // namespace peridotspool::gateway
