// ctest-labels: unit
#include "peridotspool/fleet/PoolPlanner.h"

#include <catch2/catch.hpp>

namespace peridotspool::fleet {

namespace {

using gateway::ScalingProfile;
using gateway::ServiceProfile;

TimePoint
At(int aMs)
{
  return TimePoint(std::chrono::seconds(1000) + std::chrono::milliseconds(aMs));
}

ServiceProfile
MakeService()
{
  return { .mName = ServiceName("s"),
           .mEngine = gateway::EngineProfile{ .mSlots = 10 },
           .mScaling =
             ScalingProfile{ .mMin = 1,
                             .mMax = 10,
                             .mBootTime = std::chrono::seconds(4),
                             .mReclaimablePriceRatio = 0.2,
                             .mPrices = { { FailureDomain("a"), 1.0 },
                                          { FailureDomain("b"), 0.8 } } } };
}

PoolKey
Key(const char* aDomain, bool aReclaimable)
{
  return { FailureDomain(aDomain), aReclaimable };
}

/** A cloud that accepts orders and carries them out on request. */
class Cloud
{
public:
  void Run(PoolPlanner& aPlanner, int aMs)
  {
    for (const PoolOrder& order :
         aPlanner.Plan(MakeService(), mView, At(aMs))) {
      const bool refused = mShortage && order.mReclaimable &&
                           order.mDesired > mView.mReady[KeyOf(order)];
      aPlanner.HandleResult(order, !refused, refused, At(aMs));
      ++mOrders;
      if (!refused) {
        mAccepted[KeyOf(order)] = order.mDesired;
      }
    }
  }
  void CarryOut()
  {
    for (const auto& [key, count] : mAccepted) {
      mView.mReady[key] = count;
    }
  }

  PoolView mView;
  std::map<PoolKey, std::uint32_t> mAccepted;
  bool mShortage = false;
  int mOrders = 0;

private:
  static PoolKey KeyOf(const PoolOrder& aOrder)
  {
    return { aOrder.mDomain, aOrder.mReclaimable };
  }
};

} // namespace

TEST_CASE("OnDemandUpstreamsAreReleasedOnceReclaimableOnesReplaceThem")
{
  PoolPlanner planner(
    { .mMinUpstreams = 8, .mObservationPeriod = Duration(0) });
  Cloud cloud;
  cloud.mView.mReady = { { Key("a", false), 4 }, { Key("b", false), 4 } };
  cloud.Run(planner, 0);
  // If either domain is reclaimed, as many remain as there were.
  CHECK(cloud.mAccepted[Key("a", true)] == 8);
  CHECK(cloud.mAccepted[Key("b", true)] == 8);
  const auto onDemand =
    cloud.mView.mReady[Key("a", false)] + cloud.mView.mReady[Key("b", false)];
  CHECK(onDemand == 8);
  cloud.mView.mReady[Key("a", true)] = 8;
  cloud.mView.mReady[Key("b", true)] = 8;
  cloud.Run(planner, 5000);
  CHECK(cloud.mAccepted[Key("a", false)] == 0);
  CHECK(cloud.mAccepted[Key("b", false)] == 0);
}

// Guards against paying for on-demand upstreams that nobody uses: twelve of
// them are found running, reclaimable ones are ready in their place before the
// first request, and the on-demand ones are retained as between waves of
// reclaims. That was a tenth of the paid upstream time.
TEST_CASE("BeforeLoadOnDemandUpstreamsAreReleasedAsSoonAsReplaced")
{
  PoolPlanner planner({ .mMinUpstreams = 8,
                        .mObservationPeriod = Duration(0),
                        .mMinOnDemandTime = std::chrono::seconds(3) });
  Cloud cloud;
  cloud.mView.mReady = { { Key("a", false), 4 }, { Key("b", false), 4 } };
  const auto onDemand = [&] {
    return cloud.mView.mReady[Key("a", false)] +
           cloud.mView.mReady[Key("b", false)];
  };
  cloud.Run(planner, 0);
  cloud.Run(planner, 3900);
  CHECK(cloud.mAccepted.find(Key("b", false)) == cloud.mAccepted.end());
  cloud.CarryOut();
  cloud.Run(planner, 4000);
  cloud.CarryOut();
  CHECK(onDemand() == 0);
  // Under load they are retained for a while.
  cloud.mView.mRunning = 10.0;
  cloud.mView.mReady[Key("a", true)] = 0;
  cloud.mView.mReady[Key("b", true)] = 0;
  cloud.Run(planner, 10000);
  cloud.CarryOut();
  CHECK(onDemand() == 8);
  cloud.mView.mReady[Key("a", true)] = 8;
  cloud.Run(planner, 12000);
  cloud.CarryOut();
  CHECK(onDemand() == 8);
}

// Guards against twenty seconds in which nearly all requests fail: the cloud
// reclaims one failure domain after another and has no reclaimable instances
// meanwhile, but only reclaimable ones are ordered, again and again.
TEST_CASE("OnDemandUpstreamsAreOrderedWhenReclaimableOnesAreRefused")
{
  PoolPlanner planner(
    { .mMinUpstreams = 8, .mObservationPeriod = Duration(0) });
  Cloud cloud;
  cloud.mView.mReady = { { Key("a", true), 4 }, { Key("b", true), 4 } };
  cloud.Run(planner, 0);
  cloud.mShortage = true;
  cloud.mView.mReady = { { Key("a", true), 1 } };
  cloud.Run(planner, 1000);
  cloud.Run(planner, 1100);
  const auto onDemand =
    cloud.mAccepted[Key("a", false)] + cloud.mAccepted[Key("b", false)];
  CHECK(onDemand == 3);
  // On-demand upstreams are retained until reclaimable ones are ready again.
  cloud.CarryOut();
  cloud.mView.mReady[Key("a", true)] = 1;
  cloud.mView.mReady.erase(Key("b", true));
  cloud.Run(planner, 9000);
  CHECK(cloud.mAccepted[Key("a", false)] + cloud.mAccepted[Key("b", false)] ==
        3);
  cloud.mShortage = false;
  for (int ms = 10000; ms < 30000; ms += 1000) {
    cloud.Run(planner, ms);
    cloud.CarryOut();
  }
  CHECK(cloud.mView.mReady[Key("a", true)] == 4);
  CHECK(cloud.mView.mReady[Key("b", true)] == 4);
  CHECK(cloud.mAccepted[Key("a", false)] + cloud.mAccepted[Key("b", false)] ==
        0);
}

// Guards against failing requests in the first seconds of a large deployment:
// 140 on-demand upstreams are running, and the pool is cut to its minimum
// before the first request because no load yet is mistaken for low load.
TEST_CASE("ThePoolKeepsItsInitialSizeAndASpareDomainUntilThereIsLoad")
{
  PoolPlanner planner(
    { .mMinUpstreams = 2, .mObservationPeriod = Duration(0) });
  Cloud cloud;
  cloud.mView.mReady = { { Key("a", false), 5 }, { Key("b", false), 6 } };
  cloud.Run(planner, 0);
  CHECK(planner.Wanted() == 20);
  cloud.CarryOut();
  cloud.Run(planner, 5000);
  cloud.CarryOut();
  CHECK(cloud.mAccepted[Key("a", false)] + cloud.mAccepted[Key("b", false)] ==
        0);
  cloud.Run(planner, 20000);
  CHECK(planner.Wanted() == 20);
  cloud.mView.mRunning = 3.0;
  for (int ms = 20100; ms < 40000; ms += 1000) {
    cloud.Run(planner, ms);
  }
  CHECK(planner.Wanted() == 2);
}

// Guards against the loss of a third of the value of the first six seconds of a
// large deployment: ninety on-demand upstreams are running, and a new leader
// knows of only some when it first plans, and of the others within one
// heartbeat. Ordering only the known number would release the others.
TEST_CASE("UpstreamsDiscoveredLateAreNotReleased")
{
  PoolPlanner planner({ .mMinUpstreams = 2 });
  Cloud cloud;
  for (std::uint32_t known = 1; known <= 10; ++known) {
    cloud.mView.mReady = { { Key("a", false), known },
                           { Key("b", false), known / 2 } };
    cloud.Run(planner, static_cast<int>(known) * 120);
  }
  CHECK(cloud.mAccepted.find(Key("a", false)) == cloud.mAccepted.end());
  CHECK(cloud.mAccepted.find(Key("b", false)) == cloud.mAccepted.end());
  CHECK(planner.Wanted() == 20);
  cloud.Run(planner, 2000);
  CHECK(cloud.mAccepted[Key("a", true)] + cloud.mAccepted[Key("b", true)] ==
        20);
  CHECK(cloud.mAccepted[Key("a", false)] + cloud.mAccepted[Key("b", false)] >=
        3);
}

// Guards against a pool that is too small for the first eight seconds of heavy
// load, which scored only 0.4 to 0.7: 140 on-demand upstreams are running, of
// which 95 are discovered within 1.5 s and the others when control replicas
// that joined late receive their heartbeats. Upstreams discovered after the
// first moments must count too.
TEST_CASE("TheReserveBeforeLoadCountsUpstreamsDiscoveredSecondsLater")
{
  PoolPlanner planner({ .mMinUpstreams = 2 });
  Cloud cloud;
  cloud.mView.mReady = { { Key("a", false), 2 } };
  cloud.Run(planner, 0);
  cloud.Run(planner, 2000);
  CHECK(planner.Wanted() == 4);
  cloud.mView.mReady[Key("b", false)] = 3;
  cloud.Run(planner, 3500);
  CHECK(planner.Wanted() == 10);
  // Reclaimable upstreams ordered as replacements do not raise the reserve.
  for (int ms = 4000; ms < 20000; ms += 500) {
    cloud.Run(planner, ms);
    cloud.CarryOut();
  }
  CHECK(planner.Wanted() == 10);
  CHECK(cloud.mView.mReady[Key("a", true)] == 5);
  CHECK(cloud.mView.mReady[Key("a", false)] == 0);
}

TEST_CASE("TheReserveBeforeLoadCostsNoMoreThanWhatItReplaces")
{
  ServiceProfile expensive = MakeService();
  expensive.mScaling->mReclaimablePriceRatio = 0.8;
  expensive.mScaling->mPrices[FailureDomain("c")] = 1.0;
  PoolPlanner planner({ .mMinUpstreams = 2 });
  PoolView view;
  view.mReady = { { Key("a", false), 6 } };
  planner.Plan(expensive, view, At(0));
  // The reserve covers the loss of one domain: 6 x 3 / 2.
  CHECK(planner.Wanted() == 9);
}

// Guards against a pool that is cut to the load's need at once: after eight
// seconds of load, a reserve of four times the need is cut while a domain is
// reclaimed and no replacement is available. The windows then scored 0.67
// and not 0.95, and a hundred on-demand upstreams had to be paid for.
TEST_CASE("ThePoolShrinksInStepsAndNotDuringACapacityShortage")
{
  PoolPlanner planner({ .mMinUpstreams = 2, .mTargetConcurrency = 1.0 });
  Cloud cloud;
  cloud.mView.mReady = { { Key("a", true), 10 }, { Key("b", true), 10 } };
  cloud.Run(planner, 0);
  REQUIRE(planner.Wanted() == 20);
  cloud.mView.mRunning = 2.0;
  cloud.mShortage = true;
  cloud.mView.mReady[Key("b", true)] = 0;
  for (int ms = 5000; ms < 17000; ms += 100) {
    cloud.Run(planner, ms);
    CHECK(planner.Wanted() == 20);
  }
  cloud.mShortage = false;
  cloud.mView.mReady[Key("b", true)] = 10;
  std::map<std::uint32_t, int> lasted;
  for (int ms = 17000; ms < 40000; ms += 100) {
    cloud.Run(planner, ms);
    ++lasted[planner.Wanted()];
  }
  CHECK(planner.Wanted() == 2);
  for (const std::uint32_t step : { 10U, 5U }) {
    INFO("step to " << step << " lasted " << lasted[step] << " plans");
    CHECK(lasted[step] == 30);
  }
}

// Guards against six seconds in which nearly all requests fail or are late: the
// cloud reclaims one of three domains, grants no replacement, and reclaims the
// next ones two seconds later. The remaining upstreams must not count as
// permanent, because a start takes longer than the notice of a reclaim.
TEST_CASE("DuringACapacityShortageTheLargestRemainingDomainCountsAsLost")
{
  ServiceProfile service = MakeService();
  service.mScaling->mPrices[FailureDomain("c")] = 1.0;
  PoolPlanner planner(
    { .mMinUpstreams = 2, .mObservationPeriod = Duration(0) });
  PoolView view;
  view.mReady = { { Key("a", true), 10 },
                  { Key("b", true), 10 },
                  { Key("c", true), 10 } };
  const auto plan = [&](int aMs, bool aShortage) {
    std::uint32_t onDemand = 0;
    for (const PoolOrder& order : planner.Plan(service, view, At(aMs))) {
      const bool refused = aShortage && order.mReclaimable;
      planner.HandleResult(order, !refused, refused, At(aMs));
      onDemand += order.mReclaimable ? 0 : order.mDesired;
    }
    return onDemand;
  };
  CHECK(plan(0, false) == 0);
  REQUIRE(planner.Wanted() == 30);
  // Two thirds are left, and half of those may be lost at once; the load needs
  // eight.
  view.mRunning = 3.5 * 16;
  view.mReady.erase(Key("c", true));
  CHECK(plan(1000, true) == 0);
  CHECK(plan(1100, true) == 0);
  // Ten are left, and all of them may be lost at once.
  view.mReady.erase(Key("b", true));
  CHECK(plan(1200, true) == 8);
}

// Guards against a pool that shrinks because rate limits of its upstreams keep
// requests away from them.
TEST_CASE("UpstreamsWithARateLimitAreNotTakenForIdle")
{
  const auto wanted = [](std::uint32_t aLimited, double aRunningAtLimited) {
    PoolPlanner planner({ .mMinUpstreams = 2,
                          .mTargetConcurrency = 4.0,
                          .mShrinkAfter = std::chrono::seconds(1) });
    Cloud cloud;
    cloud.mView.mReady = { { Key("a", false), 10 } };
    cloud.mView.mRunning = 12.0;
    cloud.mView.mLimited = aLimited;
    cloud.mView.mRunningAtLimited = aRunningAtLimited;
    for (int ms = 0; ms < 30000; ms += 100) {
      cloud.Run(planner, ms);
    }
    return planner.Wanted();
  };
  CHECK(wanted(0, 0.0) == 3);
  CHECK(wanted(8, 4.0) == 10);
  // They run as much as others.
  CHECK(wanted(2, 8.0) == 3);
}

TEST_CASE("AnOversizedPoolShrinksEventuallyDuringACapacityShortage")
{
  PoolPlanner planner({ .mMinUpstreams = 2, .mTargetConcurrency = 1.0 });
  Cloud cloud;
  cloud.mView.mReady = { { Key("a", false), 10 } };
  cloud.mShortage = true;
  cloud.Run(planner, 0);
  cloud.mView.mRunning = 2.0;
  for (int ms = 5000; ms < 45000; ms += 100) {
    cloud.Run(planner, ms);
  }
  CHECK(planner.Wanted() < 20);
}

TEST_CASE("NothingIsOrderedWithoutAChange")
{
  PoolPlanner planner(
    { .mMinUpstreams = 8, .mObservationPeriod = Duration(0) });
  Cloud cloud;
  cloud.mView.mReady = { { Key("a", true), 4 }, { Key("b", true), 4 } };
  for (int ms = 0; ms < 60000; ms += 100) {
    cloud.Run(planner, ms);
  }
  CHECK(cloud.mOrders <= 2);
}

TEST_CASE("ThePoolGrowsWithLoadAtOnceAndShrinksAfterADelay")
{
  PoolPlanner planner({ .mMinUpstreams = 4, .mTargetConcurrency = 5.0 });
  Cloud cloud;
  cloud.mView.mReady = { { Key("a", true), 2 }, { Key("b", true), 2 } };
  cloud.mView.mRunning = 41.0;
  cloud.Run(planner, 0);
  CHECK(planner.Wanted() == 9);
  cloud.mView.mRunning = 1.0;
  cloud.Run(planner, 1000);
  CHECK(planner.Wanted() == 9);
  cloud.Run(planner, 10000);
  CHECK(planner.Wanted() == 4);
}

// Guards against missing a short gap in a capacity shortage: two domains are
// reclaimed, the cloud has capacity for a second and a half, and then it
// reclaims the other two. An order refused just before the gap is retried just
// after it if the time between retries is 1.5 s, as long as the gap. Light load
// then scored 0.43 or 0.70 in one of two runs.
TEST_CASE("AOneSecondGapInACapacityShortageIsUsed")
{
  constexpr int kGapMs = 1000;
  constexpr int kPlanEachMs = 100;
  for (int gapAt = 2000; gapAt < 4000; gapAt += kPlanEachMs) {
    PoolPlanner planner(
      { .mMinUpstreams = 8, .mObservationPeriod = Duration(0) });
    Cloud cloud;
    cloud.mView.mReady = { { Key("a", true), 4 } };
    cloud.mView.mRunning = 20.0;
    for (int ms = 0; ms < gapAt + 2 * kGapMs; ms += kPlanEachMs) {
      cloud.mShortage = ms < gapAt || ms >= gapAt + kGapMs;
      cloud.Run(planner, ms);
    }
    INFO("gap from " << gapAt << " to " << gapAt + kGapMs << " ms");
    CHECK(cloud.mAccepted[Key("b", true)] >= 4);
  }
}

} // namespace peridotspool::fleet
