// ctest-labels: unit
#include "peridotspool/rollout/RolloutTable.h"

#include <catch2/catch.hpp>

namespace peridotspool::rollout {

namespace {

RolloutOrder
Order(const char* aTo, int aAtSeconds, const char* aService = "s")
{
  return { .mService = ServiceName(aService),
           .mTo = VersionName(aTo),
           .mDuration = std::chrono::seconds(12),
           .mOrderedMicros = aAtSeconds * 1000000LL };
}

void
EndLatest(RolloutTable& aTable, RolloutState aState)
{
  const Rollout* latest = aTable.Latest(ServiceName("s"));
  REQUIRE(aTable.End({ .mId = latest->mId, .mState = aState, .mReason = "r" }));
}

} // namespace

TEST_CASE("ARepeatedOrderChangesNothing")
{
  RolloutTable table;
  CHECK(table.Start(Order("v2", 100)) == OrderVerdict::kStarted);
  const RolloutTable before = table;
  CHECK(table.Start(Order("v2", 101)) == OrderVerdict::kRepeated);
  CHECK(table == before);
  EndLatest(table, RolloutState::kCompleted);
  CHECK(table.Start(Order("v2", 500)) == OrderVerdict::kRepeated);
  CHECK(table.Latest(ServiceName("s"))->mState == RolloutState::kCompleted);
}

TEST_CASE("AServiceHasOneRolloutAtATime")
{
  RolloutTable table;
  table.Start(Order("v2", 100));
  CHECK(table.Start(Order("v3", 101)) == OrderVerdict::kBusy);
  CHECK(table.Start(Order("v3", 101, "t")) == OrderVerdict::kStarted);
}

TEST_CASE("AVersionThatWasRolledBackMayBeOrderedAgainLater")
{
  RolloutTable table;
  table.Start(Order("v2", 100));
  EndLatest(table, RolloutState::kRolledBack);
  CHECK(table.RolledBack(ServiceName("s")) ==
        std::vector<VersionName>{ VersionName("v2") });
  CHECK(table.Start(Order("v2", 105)) == OrderVerdict::kRepeated);
  CHECK(table.Start(Order("v2", 200)) == OrderVerdict::kStarted);
  CHECK(table.RolledBack(ServiceName("s")).empty());
}

TEST_CASE("TheVersionInForceIsThatOfTheLastCompletedRollout")
{
  RolloutTable table;
  const ServiceName service("s");
  CHECK_FALSE(table.Current(service).IsSet());
  table.Start(Order("v2", 100));
  EndLatest(table, RolloutState::kCompleted);
  table.Start(Order("v3", 200));
  CHECK(table.Current(service) == VersionName("v2"));
  EndLatest(table, RolloutState::kRolledBack);
  CHECK(table.Current(service) == VersionName("v2"));
  CHECK(table.Start(Order("v2", 300)) == OrderVerdict::kInForce);
}

// Guards against replicated state that grows with each order.
TEST_CASE("TheNumberOfStoredRolloutsIsBounded")
{
  RolloutTable table;
  table.Start(Order("v0", 0));
  EndLatest(table, RolloutState::kCompleted);
  for (int i = 1; i < 100; ++i) {
    table.Start(Order(("v" + std::to_string(i)).c_str(), 100 * i));
    EndLatest(table, RolloutState::kRolledBack);
  }
  CHECK(table.mRollouts.size() <= 16);
  CHECK(table.Current(ServiceName("s")) == VersionName("v0"));
}

TEST_CASE("AnEndedRolloutStaysEnded")
{
  RolloutTable table;
  table.Start(Order("v2", 100));
  const RolloutId id = table.mLastId;
  EndLatest(table, RolloutState::kRolledBack);
  CHECK_FALSE(table.End({ .mId = id, .mState = RolloutState::kCompleted }));
  CHECK(table.Find(id)->mState == RolloutState::kRolledBack);
}

} // namespace peridotspool::rollout
