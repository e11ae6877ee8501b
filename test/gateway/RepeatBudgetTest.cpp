// ctest-labels: unit
#include "peridotspool/gateway/RepeatBudget.h"

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
    const RepeatBudgetOptions options{ .mRatio = 0.2,
                                       .mExtra = 30.0,
                                       .mEntries = entries };
    std::vector<RepeatBudget> budgets(entries, RepeatBudget(options));
    const ServiceName service("s");
    std::deque<int> repeats;
    std::deque<int> requests;
    const int perRequest = *rc::gen::inRange(1, 5);
    for (int ms = 0; ms < 40000; ms += 20) {
      auto& budget = budgets[static_cast<std::size_t>(ms / 20) % entries];
      budget.TakeRequest(service, At(ms));
      requests.push_back(ms);
      for (int i = 0; i < perRequest; ++i) {
        if (budget.TakeRepeat(service, At(ms))) {
          repeats.push_back(ms);
        }
      }
      while (repeats.front() <= ms - 10000) {
        repeats.pop_front();
      }
      while (requests.front() <= ms - 10000) {
        requests.pop_front();
      }
      RC_ASSERT(static_cast<double>(repeats.size()) <=
                0.2 * static_cast<double>(requests.size()) + 30.0 + 1.0);
    }
    RC_ASSERT(!repeats.empty());
  });
}

// Guards against two bursts that are less than a window apart.
TEST_CASE("RepeatBudgetCountsOverNoLessThanAWindow")
{
  RepeatBudget budget({ .mRatio = 0.2, .mExtra = 20.0, .mEntries = 2 });
  const ServiceName service("s");
  while (budget.TakeRepeat(service, At(950))) {
  }
  CHECK_FALSE(budget.TakeRepeat(service, At(10900)));
}

TEST_CASE("RepeatBudgetGivesAServiceWithoutRequestsItsPartOfTheExtra")
{
  RepeatBudget budget({ .mRatio = 0.2, .mExtra = 20.0, .mEntries = 2 });
  int given = 0;
  while (budget.TakeRepeat(ServiceName("s"), At(0))) {
    ++given;
  }
  CHECK(given == 8);
  CHECK(budget.TakeRepeat(ServiceName("s"), At(11000)));
}

} // namespace peridotspool::gateway
