// ctest-labels: unit
#include "peridotspool/streams/ResumePolicy.h"

#include <catch2/catch.hpp>

#include <string>

namespace peridotspool::streams {

namespace {

constexpr ResumeFacts kGranted{ .mIsResumable = true,
                                .mIsNamed = true,
                                .mKnowledge = OriginKnowledge::kKnown,
                                .mRouteHasService = true };

ResumeFacts
WithKnowledge(OriginKnowledge aKnowledge)
{
  ResumeFacts facts = kGranted;
  facts.mKnowledge = aKnowledge;
  return facts;
}

} // namespace

TEST_CASE("AStreamOfKnownOriginIsResumed")
{
  CHECK(JudgeResume(kGranted) == ResumeVerdict::kResume);
}

// Guards against streams that are resumed at a version that did not begin them.
TEST_CASE("NoStreamIsResumedWithoutAKnownOrigin")
{
  CHECK(JudgeResume(WithKnowledge(OriginKnowledge::kUnknown)) ==
        ResumeVerdict::kUnknown);
  CHECK(JudgeResume(WithKnowledge(OriginKnowledge::kAmbiguous)) ==
        ResumeVerdict::kAmbiguous);
  CHECK(JudgeResume(WithKnowledge(OriginKnowledge::kUndetermined)) ==
        ResumeVerdict::kUndetermined);
}

TEST_CASE("AStreamWithoutANameIsResumedWhileThereIsASingleVersion")
{
  ResumeFacts facts = kGranted;
  facts.mIsNamed = false;
  CHECK(JudgeResume(facts) == ResumeVerdict::kResume);
  facts.mKnowledge = OriginKnowledge::kUnknown;
  CHECK(JudgeResume(facts) == ResumeVerdict::kNotNamed);
  // Another entry may have been in contact for longer.
  facts.mKnowledge = OriginKnowledge::kUndetermined;
  CHECK(JudgeResume(facts) == ResumeVerdict::kUndetermined);
}

TEST_CASE("AStreamIsNotResumedWhereItsRouteHasMoved")
{
  ResumeFacts facts = kGranted;
  facts.mRouteHasService = false;
  CHECK(JudgeResume(facts) == ResumeVerdict::kRouteMoved);
  facts = kGranted;
  facts.mIsResumable = false;
  CHECK(JudgeResume(facts) == ResumeVerdict::kNotResumable);
}

TEST_CASE("AStreamOfAnUpgradedUpstreamIsNotResumed")
{
  ResumeFacts facts = kGranted;
  facts.mIsUpgraded = true;
  CHECK(JudgeResume(facts) == ResumeVerdict::kUpstreamUpgraded);
}

TEST_CASE("OnlyAnUndeterminedOriginIsWorthARetry")
{
  CHECK(MayRetryResume(ResumeVerdict::kUndetermined));
  CHECK_FALSE(MayRetryResume(ResumeVerdict::kUnknown));
  CHECK_FALSE(MayRetryResume(ResumeVerdict::kRouteMoved));
}

} // namespace peridotspool::streams
