// ctest-labels: unit
#include "peridotspool/gateway/ServiceRetryBudget.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <deque>
#include <vector>

namespace peridotspool::gateway {

namespace {

TimePoint
At(int aMs)
{
  return TimePoint(std::chrono::seconds(1000) + std::chrono::milliseconds(aMs));
}

} // namespace

// Symptom: a service in trouble got three times its usual load.
// Sequence: its upstreams failed, and each entry repeated each request.
// Cause: repeats were bounded for each request, not for all together.
TEST_CASE("RepeatBudgetKeepsAllEntriesTogetherUnderTheBound")
{
  rc::prop("windows", [] {
    const std::size_t entries = *rc::gen::inRange<std::size_t>(1, 6);
    const ServiceRetryBudgetOptions options{ .mRatio = 0.2,
                                             .mFixedAllowance = 30.0,
                                             .mEntryCount = entries };
    std::vector<ServiceRetryBudget> budgets(entries,
                                            ServiceRetryBudget(options));
    const ServiceName service("s");
    std::deque<int> retries;
    std::deque<int> requests;
    const int perRequest = *rc::gen::inRange(1, 5);
    for (int ms = 0; ms < 40000; ms += 20) {
      auto& budget = budgets[static_cast<std::size_t>(ms / 20) % entries];
      budget.RecordRequest(service, At(ms));
      requests.push_back(ms);
      for (int i = 0; i < perRequest; ++i) {
        if (budget.TryAcquireRetry(service, At(ms))) {
          retries.push_back(ms);
        }
      }
      while (retries.front() <= ms - 10000) {
        retries.pop_front();
      }
      while (requests.front() <= ms - 10000) {
        requests.pop_front();
      }
      RC_ASSERT(static_cast<double>(retries.size()) <=
                0.2 * static_cast<double>(requests.size()) + 30.0 + 1.0);
    }
    RC_ASSERT(!retries.empty());
  });
}

namespace {

/** Repeats and requests by tenths of a second, of all entries together. */
struct RetrySimulation
{
  std::vector<int> mRequests = std::vector<int>(400);
  std::vector<int> mRetries = std::vector<int>(400);
};

int
SumOf(const std::vector<int>& aCounts, int aFrom)
{
  int sum = 0;
  for (int tenth = std::max(0, aFrom); tenth < aFrom + 100; ++tenth) {
    sum += aCounts[static_cast<std::size_t>(tenth)];
  }
  return sum;
}

/** Upstreams fail from second 12 on; entries restart some time later. */
RetrySimulation
SimulateRestarts(std::size_t aEntries, int aRestartTenth, double aShare)
{
  const ServiceRetryBudgetOptions options{ .mRatio = 0.2,
                                           .mFixedAllowance = 60.0,
                                           .mEntryCount = aEntries };
  std::vector<ServiceRetryBudget> budgets(aEntries,
                                          ServiceRetryBudget(options));
  const ServiceName service("s");
  RetrySimulation simulation;
  for (int ms = 0; ms < 40000; ms += 10) {
    const auto tenth = static_cast<std::size_t>(ms / 100);
    if (ms == aRestartTenth * 100) {
      for (std::size_t i = 0;
           i < static_cast<std::size_t>(aShare * static_cast<double>(aEntries));
           ++i) {
        ServiceRetryBudgetOptions fresh = options;
        fresh.mStartedAt = At(ms);
        budgets[i] = ServiceRetryBudget(fresh);
      }
    }
    auto& budget = budgets[static_cast<std::size_t>(ms / 10) * 7919 % aEntries];
    budget.RecordRequest(service, At(ms));
    ++simulation.mRequests[tenth];
    while (ms >= 12000 && budget.TryAcquireRetry(service, At(ms))) {
      ++simulation.mRetries[tenth];
    }
  }
  return simulation;
}

} // namespace

// Guards against entries that repeat as if they had not before they restarted.
TEST_CASE("RepeatBudgetHoldsWhenEntriesRestart")
{
  for (const std::size_t entries : { 3, 9, 70 }) {
    for (const double share : { 0.55, 1.0 }) {
      for (int restart = 125; restart <= 200; restart += 15) {
        const RetrySimulation simulation =
          SimulateRestarts(entries, restart, share);
        for (int from = 100; from <= 300; ++from) {
          const int requests =
            std::max({ SumOf(simulation.mRequests, from),
                       SumOf(simulation.mRequests, from - 50),
                       SumOf(simulation.mRequests, from - 100) });
          const double allowed = 0.2 * requests + 60.0;
          INFO("entries " << entries << ", share " << share << ", restart at "
                          << restart << ", window from " << from
                          << " tenths: expected at most " << allowed);
          REQUIRE(SumOf(simulation.mRetries, from) <= allowed);
        }
      }
    }
  }
}

// Guards against two bursts that are less than a window apart.
TEST_CASE("RepeatBudgetCountsOverNoLessThanAWindow")
{
  ServiceRetryBudget budget(
    { .mRatio = 0.2, .mFixedAllowance = 20.0, .mEntryCount = 2 });
  const ServiceName service("s");
  while (budget.TryAcquireRetry(service, At(950))) {
  }
  CHECK_FALSE(budget.TryAcquireRetry(service, At(10900)));
}

TEST_CASE("RepeatBudgetGivesAServiceWithoutRequestsItsPartOfTheExtra")
{
  ServiceRetryBudget budget(
    { .mRatio = 0.2, .mFixedAllowance = 20.0, .mEntryCount = 2 });
  int given = 0;
  while (budget.TryAcquireRetry(ServiceName("s"), At(0))) {
    ++given;
  }
  CHECK(given == 8);
  CHECK(budget.TryAcquireRetry(ServiceName("s"), At(11000)));
}

} // namespace peridotspool::gateway
