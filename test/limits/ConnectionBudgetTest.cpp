// ctest-labels: unit limits
#include "peridotspool/limits/ConnectionBudget.h"

#include <catch2/catch.hpp>

#include <random>
#include <vector>

namespace peridotspool::limits {

namespace {

using Phase = ConnectionPhase;

constexpr std::size_t kTotal = 8U << 20;
constexpr std::size_t kLarge = 1U << 20;
const TimePoint kStart{ std::chrono::seconds(100) };
const TimePoint kLater = kStart + std::chrono::seconds(5);

ConnectionBudget
MakeBudget(std::size_t aConnections = 1000)
{
  return ConnectionBudget(
    { .mTotalBytes = kTotal, .mConnections = aConnections });
}

ConnectionId
Add(ConnectionBudget& aBudget,
    const ConnectionState& aState,
    TimePoint aNow = kStart)
{
  const ConnectionId id = aBudget.Open(aNow);
  aBudget.Update(id, aState, aNow);
  return id;
}

} // namespace

// Guards against ordinary clients that pay for those who hold room in vain.
TEST_CASE("TheLargestOfTheStalledGivesWayFirst")
{
  ConnectionBudget budget = MakeBudget();
  Add(budget, { Phase::kReceiving, kLarge });
  const auto largest = Add(budget, { Phase::kSending, 2 * kLarge });
  Add(budget, { Phase::kServing, 3 * kLarge });
  const auto active = Add(budget, { Phase::kReceiving, 4 * kLarge }, kLater);
  CHECK(budget.FindOverrun(kLater) == largest);
  budget.Close(active);
  CHECK_FALSE(budget.FindOverrun(kLater));
}

// Guards against clients that keep their room by a byte now and then.
TEST_CASE("ATrickleIsNoProgress")
{
  ConnectionBudget budget = MakeBudget();
  const auto trickle = Add(budget, { Phase::kReceiving, 4 * kLarge });
  const auto flows = Add(budget, { Phase::kReceiving, 4 * kLarge });
  for (std::uint64_t second = 1; second <= 5; ++second) {
    const TimePoint now = kStart + std::chrono::seconds(second);
    budget.Update(trickle, { Phase::kReceiving, 4 * kLarge, second }, now);
    budget.Update(
      flows, { Phase::kReceiving, 4 * kLarge, second * 10000 }, now);
  }
  CHECK(budget.FindOverrun(kLater) == trickle);
}

// Guards against large requests that end each other in turn, so that none of
// them becomes complete.
TEST_CASE("OfRequestsThatMakeProgressTheLatestGivesWay")
{
  ConnectionBudget budget = MakeBudget();
  for (int i = 0; i < 7; ++i) {
    Add(budget, { Phase::kReceiving, kLarge });
  }
  const auto latest = Add(budget, { Phase::kReceiving, kLarge });
  const auto small = Add(budget, { Phase::kReceiving, 1000 });
  CHECK(small > latest);
  CHECK(budget.FindOverrun(kStart) == latest);
}

// Guards against large requests that leave no room for small ones.
TEST_CASE("LargeRequestsLeaveAPartToSmallOnes")
{
  ConnectionBudget budget = MakeBudget();
  for (int i = 0; i < 6; ++i) {
    Add(budget, { Phase::kServing, kLarge });
  }
  CHECK_FALSE(budget.IsOver());
  const auto seventh = Add(budget, { Phase::kReceiving, kLarge });
  CHECK(budget.FindOverrun(kStart) == seventh);
  budget.Close(seventh);
  for (int i = 0; i < 16; ++i) {
    Add(budget, { Phase::kReceiving, 64U << 10 });
  }
  CHECK_FALSE(budget.IsOver());
}

// Guards against a request that runs and is refused all the same.
TEST_CASE("ARequestThatIsBeingServedStays")
{
  ConnectionBudget budget = MakeBudget();
  Add(budget, { Phase::kServing, kTotal + 1 });
  CHECK(budget.IsOver());
  CHECK_FALSE(budget.FindOverrun(kLater));
  const auto ahead = Add(budget, { Phase::kServing, 1, 0, true });
  CHECK(budget.FindOverrun(kLater) == ahead);
}

TEST_CASE("ANewConnectionReplacesTheLongestIdleOne")
{
  ConnectionBudget budget = MakeBudget(3);
  Add(budget, { Phase::kServing, 1 });
  const auto receiving = Add(budget, { Phase::kReceiving, 1 });
  CHECK_FALSE(budget.IsFull());
  const auto idle = Add(budget, { Phase::kIdle, 0 }, kLater);
  CHECK(budget.IsFull());
  CHECK(budget.FindReplaceable(kLater) == idle);
  budget.Close(idle);
  CHECK_FALSE(budget.FindReplaceable(kStart));
  CHECK(budget.FindReplaceable(kLater) == receiving);
}

// Guards against bytes that stay counted after their connection has closed.
TEST_CASE("BytesStayWithinTheBoundWhateverConnectionsDo")
{
  std::mt19937 random(20261206);
  ConnectionBudget budget = MakeBudget();
  std::vector<ConnectionId> open;
  TimePoint now = kStart;
  for (int step = 0; step < 20000; ++step) {
    now += std::chrono::milliseconds(random() % 50);
    if (open.size() < 50) {
      open.push_back(budget.Open(now));
    }
    budget.Update(open[random() % open.size()],
                  { random() % 2 == 0 ? Phase::kReceiving : Phase::kSending,
                    random() % kLarge,
                    random() },
                  now);
    while (const auto overrun = budget.FindOverrun(now)) {
      budget.Close(*overrun);
      std::erase(open, *overrun);
    }
    REQUIRE(budget.Bytes() <= kTotal);
    REQUIRE_FALSE(budget.IsOver());
  }
  for (const ConnectionId id : open) {
    budget.Close(id);
  }
  CHECK(budget.Bytes() == 0);
  CHECK(budget.Count() == 0);
}

} // namespace peridotspool::limits
