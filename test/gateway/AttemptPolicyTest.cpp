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

// Guards against executing a non-retryable request twice: an upstream accepts
// the request, its connection breaks, the lost response is treated as a request
// that was not executed, and the request is sent to another upstream.
TEST_CASE("ANonRetryableRequestIsNotResentAfterALostResponse")
{
  rc::prop("AfterLostResponse", [] {
    AttemptState state = AnyState();
    state.mRuns = std::max<std::uint32_t>(1, state.mRuns);
    const NextStep step = AfterLostResponse(state);
    if (!IsRetryable(state) || state.mRuns >= state.mMaxAttempts) {
      RC_ASSERT(step != NextStep::kRetryElsewhere);
    }
    RC_ASSERT(step != NextStep::kRefuse);
  });
}

// Guards against reporting a request as not executed although it was: the first
// upstream accepts the request and its connection breaks, the second upstream
// refuses it, and only the second result is reported to the caller.
TEST_CASE("ARequestIsRefusedOnlyIfNoUpstreamMayHaveExecutedIt")
{
  rc::prop("AfterNotExecuted", [] {
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

TEST_CASE("APartlySentResponseIsOnlyRetriedOrAborted")
{
  rc::prop("response partly sent", [] {
    AttemptState state = AnyState();
    state.mBegun = true;
    state.mRuns = std::max<std::uint32_t>(1, state.mRuns);
    for (const NextStep step :
         { AfterNotExecuted(state), AfterLostResponse(state) }) {
      RC_ASSERT(step == NextStep::kRetryElsewhere || step == NextStep::kAbort);
    }
  });
}

TEST_CASE("AnUpstreamErrorIsRetriedOnlyIfTheRequestIsRetryable")
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

// Guards against forwarding an upstream's 500 to callers of resumable streams
// while other upstreams work: one upstream fails streams before their first
// event, and a resumable stream is not treated as retryable.
TEST_CASE("AResumableStreamIsRetriedAfterAnUpstreamError")
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
