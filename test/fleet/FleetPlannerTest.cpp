// ctest-labels: promise-survives-reclaim promise-graceful-stop
#include "peridotspool/fleet/FleetPlanner.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <set>

namespace peridotspool::fleet {

namespace {

constexpr const char* kDomains[] = { "piraeus-a",
                                     "piraeus-b",
                                     "marousi",
                                     "elefsina" };

OfferKey
Key(const std::string& aDomain, PurchaseKind aKind = PurchaseKind::kReclaimable)
{
  return OfferKey{ .mDomain = FailureDomain(aDomain),
                   .mClass = MachineClass("two"),
                   .mKind = aKind };
}

ServiceDemand
Demand(std::uint32_t aWanted)
{
  ServiceDemand demand;
  demand.mService = ServiceName("assistant");
  demand.mClass = MachineClass("two");
  demand.mMinInstances = aWanted;
  demand.mMaxInstances = aWanted + 4;
  return demand;
}

/** An in-memory cloud that grants or refuses the planner's start requests. */
class TestCloud
{
public:
  explicit TestCloud(const ServiceDemand& aDemand, FleetOptions aOptions = {})
    : mPlanner(aOptions)
  {
    std::vector<Offer> offers;
    for (const char* domain : kDomains) {
      offers.push_back({ Key(domain), 1.0 });
      offers.push_back({ Key(domain, PurchaseKind::kOnDemand), 3.0 });
    }
    Step(OffersEvent{ offers });
    Step(DemandEvent{ { aDemand } });
  }

  void Step(const FleetEvent& aEvent)
  {
    for (const FleetEffect& effect : mPlanner.Step(aEvent, mNow)) {
      if (const auto* start = std::get_if<StartEffect>(&effect)) {
        ++mStartsRequested;
        mPending.push_back(*start);
      } else if (const auto* drain =
                   std::get_if<DrainInstanceEffect>(&effect)) {
        mDrained.push_back(drain->mInstance);
      } else if (const auto* stop = std::get_if<StopInstanceEffect>(&effect)) {
        mStopped.push_back(stop->mInstance);
        mLive.erase(stop->mInstance);
      }
    }
  }

  /** Advances time; the cloud responds to the pending starts once a second. */
  void Run(int aSeconds)
  {
    for (int second = 0; second < aSeconds; ++second) {
      mNow += std::chrono::seconds(1);
      Step(FleetTickEvent{});
      mMaxPending = std::max(mMaxPending, mPending.size());
      for (const StartEffect& start : std::exchange(mPending, {})) {
        AnswerStart(start);
      }
    }
  }

  void AnswerStart(const StartEffect& aStart)
  {
    if (mRefused.contains(aStart.mOffer)) {
      Step(StartRefusedEvent{ aStart.mStart });
      return;
    }
    const InstanceName name("i-" + std::to_string(++mNamesIssued));
    mLive[name] = aStart.mOffer;
    Step(StartedEvent{ aStart.mStart, name });
    Step(ServingEvent{ name });
  }

  /**
   * Reclaims all reclaimable instances of a domain and refuses further starts
   * there.
   */
  void ReclaimDomain(const std::string& aDomain)
  {
    mRefused.insert(Key(aDomain));
    for (const auto& [name, offer] : std::map(mLive)) {
      if (offer == Key(aDomain)) {
        Step(ReclaimNoticeEvent{ name });
        Step(InstanceGoneEvent{ name });
        mLive.erase(name);
      }
    }
  }

  std::size_t LiveIn(const std::string& aDomain) const
  {
    return static_cast<std::size_t>(
      std::count_if(mLive.begin(), mLive.end(), [&](const auto& aPair) {
        return aPair.second.mDomain.Value() == aDomain;
      }));
  }

  FleetPlanner mPlanner;
  TimePoint mNow{ std::chrono::seconds(1000) };
  std::vector<StartEffect> mPending;
  std::map<InstanceName, OfferKey> mLive;
  std::set<OfferKey> mRefused;
  std::vector<InstanceName> mDrained;
  std::vector<InstanceName> mStopped;
  int mStartsRequested = 0;
  int mNamesIssued = 0;
  std::size_t mMaxPending = 0;
};

} // namespace

TEST_CASE("InstancesAreSpreadOverTheDomains")
{
  TestCloud cloud(Demand(20));
  cloud.Step(ListedEvent{});
  cloud.Run(10);
  CHECK(cloud.mLive.size() == 20);
  for (const char* domain : kDomains) {
    CHECK(cloud.LiveIn(domain) == 5);
  }
  CHECK(cloud.mMaxPending <= FleetOptions{}.mMaxStarting);
}

TEST_CASE("PreferenceAndWeightsSelectTheOffer")
{
  ServiceDemand demand = Demand(4);
  demand.mPreferredDomains = { FailureDomain("marousi") };
  TestCloud cloud(demand);
  cloud.Step(ListedEvent{});
  cloud.Run(3);
  CHECK(cloud.LiveIn("marousi") >= 2);

  // A high latency weight selects a more expensive domain with fewer reclaims.
  for (const double weight : { 0.1, 20.0 }) {
    ServiceDemand one = Demand(1);
    one.mLatencyWeight = weight;
    TestCloud other(one);
    other.Step(
      OffersEvent{ { { Key("piraeus-a"), 1.0 }, { Key("marousi"), 1.4 } } });
    other.Step(
      ListedEvent{ { InstanceInfo{ .mName = InstanceName("old"),
                                   .mStart = {},
                                   .mService = ServiceName("gone"),
                                   .mOffer = Key("piraeus-a"),
                                   .mState = InstanceState::kServing } } });
    other.Step(ReclaimNoticeEvent{ InstanceName("old") });
    other.Run(2);
    INFO("latency weight " << weight);
    CHECK(other.LiveIn(weight > 1.0 ? "marousi" : "piraeus-a") == 1);
  }
}

// Guards against throttling by the cloud when replacements are needed: all
// instances of a domain are reclaimed, all starts are refused for five minutes,
// and every missing instance is requested again in every round.
TEST_CASE("WaveOfReclaimsCausesNoStormOfStarts")
{
  TestCloud cloud(Demand(20));
  cloud.Step(ListedEvent{});
  cloud.Run(20);
  for (const char* domain : kDomains) {
    cloud.mRefused.insert(Key(domain));
    cloud.mRefused.insert(Key(domain, PurchaseKind::kOnDemand));
  }
  cloud.ReclaimDomain("marousi");
  REQUIRE(cloud.mLive.size() == 15);
  cloud.mStartsRequested = 0;
  cloud.Run(300);
  // Requesting five missing instances in each of 300 rounds would be 1,500
  // starts.
  INFO("starts requested: " << cloud.mStartsRequested);
  CHECK(cloud.mStartsRequested <= 80);
  cloud.mRefused.clear();
  cloud.Run(300);
  CHECK(cloud.mLive.size() == 20);
}

TEST_CASE("RefusedStartsFailOverToOtherDomainsAndThenToOnDemand")
{
  TestCloud cloud(Demand(8));
  cloud.mRefused = { Key("marousi"), Key("elefsina") };
  cloud.Step(ListedEvent{});
  cloud.Run(5);
  CHECK(cloud.mLive.size() == 8);
  CHECK(cloud.LiveIn("marousi") <= 2);

  TestCloud empty(Demand(8));
  for (const char* domain : kDomains) {
    empty.mRefused.insert(Key(domain));
  }
  empty.Step(ListedEvent{});
  empty.Run(10);
  CHECK(empty.mLive.size() == 8);
  CHECK(
    std::all_of(empty.mLive.begin(), empty.mLive.end(), [](const auto& aPair) {
      return aPair.second.mKind == PurchaseKind::kOnDemand;
    }));
}

// Guards against twice the fleet after a change of leader: the planner's state
// is not in the control log, so a new leader that knows of no instances would
// start all of them again.
TEST_CASE("NewLeaderStartsNothingBeforeTheCloudListsInstances")
{
  FleetOptions options;
  options.mActAfter = TimePoint(std::chrono::seconds(1010));
  TestCloud cloud(Demand(4), options);
  cloud.Run(30);
  CHECK(cloud.mStartsRequested == 0);
  std::vector<InstanceInfo> listed;
  for (int number = 0; number < 4; ++number) {
    listed.push_back(
      InstanceInfo{ .mName = InstanceName("old-" + std::to_string(number)),
                    .mStart = StartId(1),
                    .mService = ServiceName("assistant"),
                    .mOffer = Key(kDomains[number]),
                    .mState = InstanceState::kServing });
  }
  cloud.Step(ListedEvent{ listed });
  cloud.Run(30);
  CHECK(cloud.mStartsRequested == 0);
  // A list older than the response to a start does not remove the new instance.
  cloud.Step(ReclaimNoticeEvent{ InstanceName("old-0") });
  cloud.Run(1);
  REQUIRE(cloud.mStartsRequested == 1);
  cloud.Step(ListedEvent{ listed });
  cloud.Run(5);
  CHECK(cloud.mStartsRequested == 1);
}

TEST_CASE("SurplusIsDrainedOneByOneAndStoppedOnlyWhenEmpty")
{
  TestCloud cloud(Demand(4));
  cloud.Step(ListedEvent{});
  cloud.Run(5);
  cloud.Step(DemandEvent{ { Demand(3) } });
  // The wanted number stays within the new bounds; low latency then reduces it.
  for (int second = 0; second < 700; ++second) {
    cloud.Step(LatencyEvent{ ServiceName("assistant"), Duration(1000) });
    cloud.Run(1);
  }
  CHECK(cloud.mPlanner.Wanted(ServiceName("assistant")) == 3);
  // A surplus is not drained within the first two minutes.
  CHECK(cloud.mDrained.empty());
  cloud.Run(130);
  REQUIRE(cloud.mDrained.size() == 1);
  CHECK(cloud.mStopped.empty());
  cloud.Step(DrainedEvent{ cloud.mDrained[0] });
  CHECK(cloud.mStopped == cloud.mDrained);
  cloud.Run(600);
  CHECK(cloud.mDrained.size() == 1);
}

TEST_CASE("SustainedMissOfLatencyTargetAddsInstances")
{
  TestCloud cloud(Demand(4));
  cloud.Step(ListedEvent{});
  cloud.Run(5);
  const auto report = [&](Duration aFirstToken, int aSeconds) {
    for (int second = 0; second < aSeconds; ++second) {
      cloud.Step(LatencyEvent{ ServiceName("assistant"), aFirstToken });
      cloud.Run(1);
    }
  };
  report(std::chrono::seconds(1), 20);
  report(std::chrono::milliseconds(300), 1);
  report(std::chrono::seconds(1), 20);
  CHECK(cloud.mPlanner.Wanted(ServiceName("assistant")) == 4);
  report(std::chrono::seconds(1), 15);
  CHECK(cloud.mPlanner.Wanted(ServiceName("assistant")) == 5);
  cloud.Run(2);
  CHECK(cloud.mLive.size() == 5);
  report(std::chrono::seconds(1), 600);
  CHECK(cloud.mPlanner.Wanted(ServiceName("assistant")) == 8);
}

TEST_CASE("BoundsHoldUnderRandomRefusalsAndReclaims")
{
  rc::prop("random refusals, reclaims and demands", [] {
    FleetOptions options;
    options.mMaxStarting = 3;
    TestCloud cloud(Demand(6), options);
    cloud.Step(ListedEvent{});
    const int steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step) {
      const std::string domain = kDomains[*rc::gen::inRange(0, 4)];
      switch (*rc::gen::inRange(0, 4)) {
        case 0:
          cloud.ReclaimDomain(domain);
          break;
        case 1:
          cloud.mRefused.erase(Key(domain));
          break;
        case 2:
          cloud.mRefused.insert(Key(domain, PurchaseKind::kOnDemand));
          break;
        default:
          cloud.mRefused.clear();
          break;
      }
      cloud.Run(*rc::gen::inRange(1, 20));
      RC_ASSERT(cloud.mMaxPending <= 3U);
      RC_ASSERT(cloud.mLive.size() <= 6U);
    }
    cloud.mRefused.clear();
    cloud.Run(600);
    RC_ASSERT(cloud.mLive.size() == 6U);
  });
}

} // namespace peridotspool::fleet
