// ctest-labels: unit
#include "peridotspool/routing/RetryDecision.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

namespace peridotspool::routing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{ std::chrono::hours(1) };

settings::RetryRules
Rules(std::uint64_t aAttempts = 3)
{
  return { .mBudget = 0.1,
           .mAttempts = aAttempts,
           .mBackoff = milliseconds(25),
           .mBackoffMax = seconds(1) };
}

} // namespace

// Guards against overloading a slow service for good with retries. It happens
// if retries are bounded per request but not in total: while every attempt
// fails, each request is sent several times.
TEST_CASE("BrownOutWithRetriesDoesNotMultiplyTheLoad")
{
  RetryBudget budget({ .mShare = 0.1, .mBurst = 10 });
  constexpr int kRequests = 10000;
  int sent = 0;
  for (int request = 0; request < kRequests; ++request) {
    budget.CountFirstAttempt();
    FailedAttempt failed{ .mDeadline = kStart + seconds(60) };
    for (++sent; std::holds_alternative<RetryAfterPause>(
           DecideRetry(failed, Rules(), budget, kStart));
         ++sent) {
      ++failed.mAttempts;
    }
  }
  // Without the budget, each request would be sent three times.
  CHECK(sent <= kRequests * 1.1 + 10);
  CHECK(sent > kRequests);
}

TEST_CASE("RetriesStayWithinDeadlineAndPauseBound")
{
  rc::prop("over any attempt", [] {
    FailedAttempt failed;
    failed.mAttempts = *rc::gen::inRange<std::uint64_t>(1, 40);
    failed.mDeadline = kStart + milliseconds(*rc::gen::inRange(-100, 3000));
    failed.mMinTime = milliseconds(*rc::gen::inRange(0, 500));
    failed.mRandom = *rc::gen::arbitrary<std::uint64_t>();
    RetryBudget budget({});
    const auto decision = DecideRetry(failed, Rules(50), budget, kStart);
    if (const auto* retry = std::get_if<RetryAfterPause>(&decision)) {
      RC_ASSERT(kStart + retry->mPause + failed.mMinTime < failed.mDeadline);
      RC_ASSERT(retry->mPause >= Duration(0));
      RC_ASSERT(retry->mPause <= seconds(1));
      const auto bound =
        milliseconds(25) *
        (1LL << std::min<std::uint64_t>(failed.mAttempts - 1, 20));
      RC_ASSERT(retry->mPause <= bound);
    }
  });
}

TEST_CASE("EachRefusedRetryHasItsReason")
{
  RetryBudget spent({ .mShare = 0, .mBurst = 0 });
  RetryBudget full({});
  const FailedAttempt open{ .mAttempts = 1, .mDeadline = kStart + seconds(9) };
  CHECK(DecideRetry(open, Rules(1), full, kStart) ==
        RetryDecision(NoRetry::kAttemptsSpent));
  CHECK(DecideRetry(open, Rules(), spent, kStart) ==
        RetryDecision(NoRetry::kBudgetSpent));
  const FailedAttempt late{ .mAttempts = 1, .mDeadline = kStart };
  CHECK(DecideRetry(late, Rules(), full, kStart) ==
        RetryDecision(NoRetry::kDeadlineTooNear));
}

} // namespace peridotspool::routing
