// ctest-labels: promise-at-most-once promise-refusal-did-not-run
#include "peridotspool/gateway/AttemptPolicy.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace peridotspool::gateway {

namespace {

AttemptFacts
AnyFacts()
{
  return AttemptFacts{
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
MayRepeat(const AttemptFacts& aFacts)
{
  return aFacts.mKind == RequestKind::kIdempotent ||
         (aFacts.mKind == RequestKind::kStreaming && aFacts.mResumable);
}

} // namespace

// Symptom: a repaste order reached two crews.
// Sequence: an upstream took the order, its connection broke, the order was
// sent to another upstream.
// Cause: a lost answer was taken for a request that did not run.
TEST_CASE("ARequestThatMayRunOnceIsNeverSentAgainAfterALostAnswer")
{
  rc::prop("AfterLost", [] {
    AttemptFacts facts = AnyFacts();
    facts.mRuns = std::max<std::uint32_t>(1, facts.mRuns);
    const NextStep step = AfterLost(facts);
    if (!MayRepeat(facts) || facts.mRuns >= facts.mMaxAttempts) {
      RC_ASSERT(step != NextStep::kTryAnother);
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
    const AttemptFacts facts = AnyFacts();
    const NextStep step = AfterNotRun(facts);
    if (step == NextStep::kRefuse) {
      RC_ASSERT(facts.mRuns == 0U);
      RC_ASSERT(!facts.mBegun);
    }
    if (step == NextStep::kTryAnother) {
      RC_ASSERT(facts.mTimeLeft);
      RC_ASSERT(facts.mRuns < facts.mMaxAttempts);
    }
  });
}

TEST_CASE("AnAnswerThatHasBegunIsNeverFollowedByAnotherOne")
{
  rc::prop("begun", [] {
    AttemptFacts facts = AnyFacts();
    facts.mBegun = true;
    facts.mRuns = std::max<std::uint32_t>(1, facts.mRuns);
    for (const NextStep step : { AfterNotRun(facts), AfterLost(facts) }) {
      RC_ASSERT(step == NextStep::kTryAnother || step == NextStep::kBreakOff);
    }
  });
}

TEST_CASE("AnUpstreamsOwnFailureIsRepeatedOnlyWhereItMayRunAgain")
{
  AttemptFacts facts{ .mKind = RequestKind::kIdempotent,
                      .mRuns = 1,
                      .mMaxAttempts = 2 };
  CHECK(AfterFailure(facts) == NextStep::kTryAnother);
  facts.mRuns = 2;
  CHECK(AfterFailure(facts) == NextStep::kPassOn);
  facts = { .mKind = RequestKind::kNonIdempotent,
            .mRuns = 1,
            .mMaxAttempts = 2 };
  CHECK(AfterFailure(facts) == NextStep::kPassOn);
}

// Symptom: callers of streams got an upstream's 500 for seconds while other
// upstreams worked.
// Sequence: one upstream failed streams before their first event.
// Cause: a stream that may be resumed was not taken for one that may run again.
TEST_CASE("AStreamThatMayBeResumedIsTriedElsewhereWhenItsUpstreamFails")
{
  AttemptFacts facts{ .mKind = RequestKind::kStreaming,
                      .mResumable = true,
                      .mRuns = 1,
                      .mMaxAttempts = 2 };
  CHECK(AfterFailure(facts) == NextStep::kTryAnother);
  facts.mResumable = false;
  CHECK(AfterFailure(facts) == NextStep::kPassOn);
}

} // namespace peridotspool::gateway
