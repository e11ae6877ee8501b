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

// Guards against retries that multiply the load of a failing service: its
// upstreams fail, and each entry retries each request. With retries bounded
// only per request, the service gets three times its usual load.
TEST_CASE("ServiceRetryBudgetBoundsAllEntriesTogether")
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

/** Retries and requests of all entries together, per tenth of a second. */
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

/** Upstreams fail from second 12 on; aShare of the entries restart later. */
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

// Guards against restarted entries that ignore their retries before the
// restart.
TEST_CASE("ServiceRetryBudgetHoldsWhenEntriesRestart")
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

// Guards against two bursts of retries less than a window apart.
TEST_CASE("ServiceRetryBudgetCoversAFullWindow")
{
  ServiceRetryBudget budget(
    { .mRatio = 0.2, .mFixedAllowance = 20.0, .mEntryCount = 2 });
  const ServiceName service("s");
  while (budget.TryAcquireRetry(service, At(950))) {
  }
  CHECK_FALSE(budget.TryAcquireRetry(service, At(10900)));
}

TEST_CASE("AServiceWithoutRequestsGetsItsPartOfTheFixedAllowance")
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
