// ctest-labels: unit
#include "peridotspool/routing/FairQueue.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <map>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

namespace peridotspool::routing {

namespace {

constexpr double kMaxCost = 5;

QueuedRequest
Request(const std::string& aCustomer,
        double aCost = 1,
        std::int32_t aPriority = 10)
{
  QueuedRequest request;
  request.mKey = { CustomerName(aCustomer), "k" };
  request.mPriority = aPriority;
  request.mCost = aCost;
  request.mDeadline = TimePoint::max();
  return request;
}

/**
 * The exact fluid model: customers with a backlog share the service by weight
 * at every moment.
 */
class FluidModel
{
public:
  void Add(const std::string& aCustomer, double aWeight)
  {
    mCustomers[aCustomer].mWeight = aWeight;
  }
  void Arrive(const std::string& aCustomer, double aCost)
  {
    mCustomers[aCustomer].mBacklog += aCost;
  }
  double Served(const std::string& aCustomer) const
  {
    return mCustomers.at(aCustomer).mServed;
  }

  /** Serves the given cost, in steps that end whenever a backlog is empty. */
  void Serve(double aAmount)
  {
    while (aAmount > 1e-9) {
      double weights = 0;
      for (const auto& [name, customer] : mCustomers) {
        weights += customer.mBacklog > 1e-9 ? customer.mWeight : 0;
      }
      if (weights == 0) {
        return;
      }
      double step = aAmount;
      for (const auto& [name, customer] : mCustomers) {
        if (customer.mBacklog > 1e-9) {
          step = std::min(step, customer.mBacklog * weights / customer.mWeight);
        }
      }
      for (auto& [name, customer] : mCustomers) {
        if (customer.mBacklog > 1e-9) {
          customer.mBacklog -= step * customer.mWeight / weights;
          customer.mServed += step * customer.mWeight / weights;
        }
      }
      aAmount -= step;
    }
  }

private:
  struct Customer
  {
    double mWeight = 1;
    double mBacklog = 0;
    double mServed = 0;
  };
  std::map<std::string, Customer> mCustomers;
};

} // namespace

TEST_CASE("ServiceFollowsTheFluidModel")
{
  rc::prop("no customer falls behind its fluid share by more than a bound", [] {
    const std::vector<std::string> names{ "a", "b", "c", "d" };
    FairQueue queue({ .mMaxQueued = 100000 });
    FluidModel fluid;
    std::map<std::string, double> served;
    for (const std::string& name : names) {
      const double weight = *rc::gen::inRange(1, 5);
      queue.SetWeight(CustomerName(name), weight);
      fluid.Add(name, weight);
    }
    // The server is never idle: after each request, the model serves the same
    // cost.
    for (int step = 0; step < 200; ++step) {
      const int arrivals = *rc::gen::inRange(0, 4);
      for (int at = 0; at < arrivals; ++at) {
        const std::string name = *rc::gen::elementOf(names);
        const double cost = *rc::gen::inRange(1, static_cast<int>(kMaxCost));
        RC_ASSERT(queue.Push(Request(name, cost)));
        fluid.Arrive(name, cost);
      }
      const auto next = queue.Pop();
      if (!next) {
        continue;
      }
      served[next->mKey.mCustomer.Value()] += next->mCost;
      fluid.Serve(next->mCost);
      for (const std::string& name : names) {
        // One request of each customer may be served first, and a request is
        // indivisible.
        const double bound =
          kMaxCost * static_cast<double>(names.size()) + 1e-6;
        RC_ASSERT(fluid.Served(name) - served[name] <= bound);
      }
    }
  });
}

// Guards against starving small customers behind a large one. It happens with
// first come, first served: one customer queues ten times what can be served,
// four small ones send a few requests each.
TEST_CASE("OneLargeCustomerDoesNotStarveFourSmallOnes")
{
  const std::int32_t floodPriority = GENERATE(10, 0);
  INFO("the large customer marks everything with priority " << floodPriority);
  FairQueue queue({ .mMaxQueued = 2000 });
  queue.SetWeight(CustomerName("large"), 4);
  std::map<std::string, int> waited;
  for (const char* small : { "s1", "s2", "s3", "s4" }) {
    queue.SetWeight(CustomerName(small), 1);
  }
  while (queue.Push(Request("large", 1, floodPriority))) {
  }
  std::map<std::string, int> served;
  for (int round = 0; round < 800; ++round) {
    if (round % 8 == 0) {
      for (const char* small : { "s1", "s2", "s3", "s4" }) {
        REQUIRE(queue.Push(Request(small)));
      }
    }
    queue.Push(Request("large", 1, floodPriority));
    ++served[queue.Pop()->mKey.mCustomer.Value()];
  }
  for (const char* small : { "s1", "s2", "s3", "s4" }) {
    CHECK(served[small] >= 98);
    CHECK(queue.SizeOf(CustomerName(small)) <= 2);
  }
  CHECK(served["large"] >= 396);
}

TEST_CASE("UrgentRequestGoesFirstWithinTheFairShare")
{
  FairQueue queue({});
  for (int at = 0; at < 3; ++at) {
    queue.Push(Request("a", 1, 20));
    queue.Push(Request("b", 1, 20));
  }
  queue.Push(Request("b", 1, 0));
  const auto first = queue.Pop();
  REQUIRE(first.has_value());
  CHECK(first->mKey.mCustomer == CustomerName("b"));
  CHECK(first->mPriority == 0);
}

TEST_CASE("FullQueueAcceptsACustomerWithoutQueuedRequests")
{
  FairQueue queue({ .mMaxQueued = 10 });
  queue.SetWeight(CustomerName("large"), 4);
  queue.SetWeight(CustomerName("small"), 1);
  int pushed = 0;
  while (queue.Push(Request("large"))) {
    ++pushed;
  }
  CHECK(pushed == 8);
  CHECK(queue.Push(Request("small")));
}

TEST_CASE("IdleCustomerGetsNoCredit")
{
  FairQueue queue({});
  queue.SetWeight(CustomerName("a"), 1);
  queue.SetWeight(CustomerName("b"), 1);
  for (int at = 0; at < 100; ++at) {
    queue.Push(Request("a"));
    queue.Pop();
  }
  for (int at = 0; at < 20; ++at) {
    queue.Push(Request("a"));
    queue.Push(Request("b"));
  }
  int ofB = 0;
  for (int at = 0; at < 10; ++at) {
    ofB += queue.Pop()->mKey.mCustomer == CustomerName("b") ? 1 : 0;
  }
  CHECK(ofB >= 4);
  CHECK(ofB <= 6);
}

TEST_CASE("ExpiredRequestsAreRemoved")
{
  FairQueue queue({});
  QueuedRequest late = Request("a");
  late.mDeadline = TimePoint(std::chrono::seconds(1));
  queue.Push(late);
  queue.Push(Request("a"));
  CHECK(queue.TakeExpired(TimePoint(std::chrono::seconds(2))).size() == 1);
  CHECK(queue.Size() == 1);
  CHECK(queue.Pop().has_value());
  CHECK_FALSE(queue.Pop().has_value());
}

} // namespace peridotspool::routing
