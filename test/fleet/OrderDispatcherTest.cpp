// ctest-labels: promise-fencing
#include "peridotspool/fleet/OrderDispatcher.h"

#include <catch2/catch.hpp>

namespace peridotspool::fleet {

namespace {

constexpr TimePoint kStart{ std::chrono::seconds(1000) };

/** In-memory engines that carry out the orders they are sent. */
class TestEngines
{
public:
  explicit TestEngines(OrderDispatcherOptions aOptions = {})
    : mDispatcher(WithLeaderSince(aOptions))
  {
  }

  static OrderDispatcherOptions WithLeaderSince(OrderDispatcherOptions aOptions)
  {
    aOptions.mLeaderSince = kStart;
    return aOptions;
  }

  void Add(const std::string& aName, bool aChecks, const std::string& aWanted)
  {
    Step(EngineAnnouncedEvent{ UpstreamName(aName), Incarnation(1), aChecks });
    Step(DesiredSetupEvent{ .mEngine = UpstreamName(aName),
                            .mSetup = { .mModel = aWanted },
                            .mModelBytes = 10ULL << 30,
                            .mUrgency = 0.0 });
  }

  void Step(const OrderEvent& aEvent)
  {
    for (const OrderEffect& effect : mDispatcher.Step(aEvent, mNow)) {
      Apply(effect);
    }
  }

  void Apply(const OrderEffect& aEffect)
  {
    if (const auto* read = std::get_if<ReadSetupEffect>(&aEffect)) {
      Step(
        SetupReadEvent{ read->mRead, read->mEngine, mSetups[read->mEngine] });
    } else if (const auto* request =
                 std::get_if<RequestFencingNumberEffect>(&aEffect)) {
      mNumber = mNumber.Next();
      Step(FencingNumberIssuedEvent{ request->mOrder, mNumber });
    } else if (const auto* send = std::get_if<SendOrderEffect>(&aEffect)) {
      mSent.push_back(*send);
      if (mApplyOrders) {
        mSetups[send->mEngine] = send->mSetup;
        Step(OrderEndedEvent{ send->mOrder, mOutcome });
      }
    }
  }

  void Run(Duration aFor)
  {
    for (Duration passed{ 0 }; passed < aFor;
         passed += std::chrono::milliseconds(100)) {
      mNow += std::chrono::milliseconds(100);
      Step(OrderTickEvent{});
    }
  }

  OrderDispatcher mDispatcher;
  TimePoint mNow = kStart;
  FencingNumber mNumber;
  std::map<UpstreamName, EngineSetup> mSetups;
  std::vector<SendOrderEffect> mSent;
  OrderOutcome mOutcome = OrderOutcome::kDone;
  bool mApplyOrders = true;
};

} // namespace

TEST_CASE("OrdersAreSentOnlyForAChangedSetup")
{
  TestEngines engines;
  engines.Add("engine-1", true, "large");
  engines.Run(std::chrono::seconds(60));
  REQUIRE(engines.mSent.size() == 1);
  CHECK(engines.mSent[0].mSetup.mModel == "large");
  // An engine that has the desired setup needs no order, whoever set it up.
  engines.mSetups[UpstreamName("engine-2")] = { .mModel = "large" };
  engines.Add("engine-2", true, "large");
  engines.Run(std::chrono::seconds(60));
  CHECK(engines.mSent.size() == 1);
}

// Guards against an engine that ignores fencing numbers and ends with the old
// model: the old leader sends an order at the end of its lease, and the engine
// works on it for nearly the maximum time. Meanwhile the new leader's order is
// done, and then the old order ends and undoes it.
TEST_CASE("EngineThatIgnoresFencingWaitsForTheEarlierLeadersOrders")
{
  const bool checks = GENERATE(true, false);
  TestEngines engines;
  OrderDispatcherOptions options;
  const TimePoint oldOrderEnds =
    kStart + options.mLease + options.mMaxSendDelay + options.mMaxOrderDuration;
  engines.Add("engine-1", checks, "new");
  bool oldEnded = false;
  while (engines.mNow < oldOrderEnds + std::chrono::seconds(60)) {
    engines.Run(std::chrono::milliseconds(100));
    // An engine that checks fencing numbers rejects the old order when it ends.
    if (!oldEnded && engines.mNow >= oldOrderEnds) {
      oldEnded = true;
      if (!checks) {
        engines.mSetups[UpstreamName("engine-1")] = { .mModel = "old" };
      }
    }
  }
  CHECK(engines.mSetups[UpstreamName("engine-1")].mModel == "new");
  REQUIRE(engines.mSent.size() == 1);
}

TEST_CASE("EngineThatChecksFencingIsOrderedAtOnce")
{
  TestEngines engines;
  engines.Add("engine-1", true, "new");
  engines.Run(std::chrono::seconds(1));
  CHECK(engines.mSent.size() == 1);
}

TEST_CASE("StaleFencingNumberStopsAllOrders")
{
  TestEngines engines;
  engines.mOutcome = OrderOutcome::kStale;
  engines.Add("engine-1", true, "large");
  engines.Add("engine-2", true, "large");
  engines.Run(std::chrono::seconds(60));
  CHECK(engines.mDispatcher.IsStale());
  CHECK(engines.mSent.size() == 1);
}

// Guards against engines that load for many minutes while none serves: twenty
// engines load 10 GB each from a store of 2 GB/s. Loads requested all at once
// share the bandwidth and end together.
TEST_CASE("LoadsAreRequestedAtTheWeightStoresRate")
{
  TestEngines engines;
  engines.mApplyOrders = false;
  for (int number = 10; number < 30; ++number) {
    engines.Add("engine-" + std::to_string(number), true, "large");
  }
  engines.Step(DesiredSetupEvent{ .mEngine = UpstreamName("engine-29"),
                                  .mSetup = { .mModel = "large" },
                                  .mModelBytes = 10ULL << 30,
                                  .mUrgency = 1.0 });
  engines.Run(std::chrono::seconds(50));
  // One load takes the store 5 s, and one more may be queued.
  CHECK(engines.mSent.size() >= 10);
  CHECK(engines.mSent.size() <= 12);
  CHECK(engines.mSent[0].mEngine == UpstreamName("engine-29"));
}

TEST_CASE("FailedOrderIsReadBackAndRetriedWithBackoff")
{
  TestEngines engines;
  engines.mApplyOrders = false;
  engines.Add("engine-1", true, "large");
  engines.Run(std::chrono::seconds(1));
  REQUIRE(engines.mSent.size() == 1);
  for (int failure = 0; failure < 6; ++failure) {
    engines.Step(
      OrderEndedEvent{ engines.mSent.back().mOrder, OrderOutcome::kFailed });
    engines.Run(std::chrono::milliseconds(1500));
    REQUIRE(engines.mSent.size() == static_cast<std::size_t>(failure) + 1);
    engines.Run(std::chrono::minutes(2));
    REQUIRE(engines.mSent.size() == static_cast<std::size_t>(failure) + 2);
    CHECK(engines.mSent[engines.mSent.size() - 1].mNumber >
          engines.mSent[engines.mSent.size() - 2].mNumber);
  }
}

TEST_CASE("NewIncarnationIsReadAgainAndOldResponsesAreIgnored")
{
  TestEngines engines;
  engines.Add("engine-1", true, "large");
  engines.Run(std::chrono::seconds(1));
  REQUIRE(engines.mSent.size() == 1);
  engines.mSetups[UpstreamName("engine-1")] = {};
  engines.Step(
    EngineAnnouncedEvent{ UpstreamName("engine-1"), Incarnation(2), true });
  engines.Step(SetupReadEvent{
    ReadNumber(1), UpstreamName("engine-1"), { .mModel = "large" } });
  engines.Run(std::chrono::seconds(10));
  CHECK(engines.mSent.size() == 2);
}

} // namespace peridotspool::fleet
