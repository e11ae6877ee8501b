// ctest-labels: unit
#include "peridotspool/gateway/LoadCoordinator.h"

#include <catch2/catch.hpp>

namespace peridotspool::gateway {

namespace {

const UpstreamName kOne("u1");
const std::vector<PromptPart> kPrompt{ { .mId = 1, .mTokens = 5000 },
                                       { .mId = 2, .mTokens = 300 } };

TimePoint
At(int aMs)
{
  return TimePoint(std::chrono::seconds(1000) + std::chrono::milliseconds(aMs));
}

SendStartedReport
Sent(std::uint64_t aSend, std::uint32_t aReadMs, std::uint64_t aIncarnation = 1)
{
  return { .mUpstream = kOne,
           .mIncarnation = Incarnation(aIncarnation),
           .mSendId = aSend,
           .mPrefillUs = aReadMs * 1000,
           .mParts = kPrompt,
           .mCacheTokens = 100000 };
}

UpstreamLoad
LoadOf(const LoadCoordinator& aCoordinator, int aMs)
{
  const LoadResponse response = aCoordinator.HandleQuery(
    { .mTag = 7, .mUpstreams = { kOne }, .mParts = kPrompt }, At(aMs));
  REQUIRE(response.mTag == 7);
  REQUIRE(response.mLoads.size() == 1);
  return response.mLoads[0];
}

} // namespace

TEST_CASE("ACoordinatorSumsTheSendsOfAllEntries")
{
  LoadCoordinator coordinator;
  CHECK(LoadOf(coordinator, 0) == UpstreamLoad{ .mUpstream = kOne });
  coordinator.Handle(Sent(1, 100), At(0));
  coordinator.Handle(Sent(2, 300), At(10));
  CHECK(LoadOf(coordinator, 50) == UpstreamLoad{ .mUpstream = kOne,
                                                 .mWaitUs = 350000,
                                                 .mRunning = 2,
                                                 .mCachedTokens = 5300 });
  // The first prefill ended 60 ms later than planned, so the second will too.
  coordinator.Handle(PrefillDoneReport{ kOne, 1 }, At(160));
  CHECK(LoadOf(coordinator, 160).mWaitUs == 300000);
  coordinator.Handle(SendEndedReport{ kOne, 1, true }, At(200));
  CHECK(LoadOf(coordinator, 200).mWaitUs == 260000);
  CHECK(LoadOf(coordinator, 200).mRunning == 1);
  // Its caller disconnected before the prefill, so its prompt no longer counts.
  coordinator.Handle(SendEndedReport{ kOne, 2, false }, At(200));
  CHECK(LoadOf(coordinator, 200).mWaitUs == 0);
  CHECK(LoadOf(coordinator, 200).mRunning == 0);
  CHECK(LoadOf(coordinator, 200).mCachedTokens == 5300);
}

// A restarted engine must neither be avoided for the load of its earlier
// incarnation nor be taken to cache prompts that it never processed. The engine
// restarts under the same name, and reports about the earlier incarnation
// arrive late.
TEST_CASE("ANewIncarnationResetsTheLoadRecord")
{
  LoadCoordinator coordinator;
  coordinator.Handle(Sent(1, 5000, 1), At(0));
  coordinator.Handle(
    { .mUpstream = kOne, .mIncarnation = Incarnation(2), .mSendId = 2 },
    At(10));
  CHECK(LoadOf(coordinator, 10) ==
        UpstreamLoad{
          .mUpstream = kOne, .mWaitUs = 0, .mRunning = 1, .mCachedTokens = 0 });
  coordinator.Handle(Sent(3, 5000, 1), At(20));
  coordinator.Handle(SendEndedReport{ kOne, 1, false }, At(20));
  CHECK(LoadOf(coordinator, 20).mRunning == 1);
  CHECK(LoadOf(coordinator, 20).mWaitUs == 0);
}

// An engine must not look full forever. An entry is killed while it has
// requests there, so their end is never reported.
TEST_CASE("SendsWhoseEndIsNeverReportedExpire")
{
  LoadCoordinator coordinator;
  for (std::uint64_t send = 1; send <= 12; ++send) {
    coordinator.Handle(Sent(send, 10), At(0));
  }
  coordinator.RemoveExpired(At(15000));
  CHECK(LoadOf(coordinator, 15000).mRunning == 12);
  coordinator.RemoveExpired(At(20000));
  CHECK(LoadOf(coordinator, 20000).mRunning == 0);
  CHECK(coordinator.RecordCount() == 1);
  coordinator.RemoveExpired(At(301000));
  CHECK(coordinator.RecordCount() == 0);
}

TEST_CASE("ReportsOfOtherProcessesCannotExhaustACoordinatorsMemory")
{
  LoadCoordinator coordinator;
  for (std::uint64_t i = 0; i < 5000; ++i) {
    coordinator.Handle(Sent(i, 1), At(0));
    coordinator.Handle({ .mUpstream = UpstreamName("x" + std::to_string(i)),
                         .mIncarnation = Incarnation(1),
                         .mSendId = i },
                       At(0));
  }
  CHECK(LoadOf(coordinator, 0).mRunning == 1024);
  CHECK(coordinator.RecordCount() == 4096);
}

} // namespace peridotspool::gateway
