// ctest-labels: unit
#include "peridotspool/gateway/LoadKeeper.h"

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

LoadSent
Sent(std::uint64_t aSend, std::uint32_t aReadMs, std::uint64_t aIncarnation = 1)
{
  return { .mUpstream = kOne,
           .mIncarnation = Incarnation(aIncarnation),
           .mSend = aSend,
           .mReadUs = aReadMs * 1000,
           .mParts = kPrompt,
           .mMemory = 100000 };
}

LoadLine
LineOf(const LoadKeeper& aKeeper, int aMs)
{
  const LoadTold told = aKeeper.Answer(
    { .mTag = 7, .mUpstreams = { kOne }, .mParts = kPrompt }, At(aMs));
  REQUIRE(told.mTag == 7);
  REQUIRE(told.mLines.size() == 1);
  return told.mLines[0];
}

} // namespace

TEST_CASE("AKeeperAddsUpWhatAllEntriesSend")
{
  LoadKeeper keeper;
  CHECK(LineOf(keeper, 0) == LoadLine{ .mUpstream = kOne });
  keeper.Take(Sent(1, 100), At(0));
  keeper.Take(Sent(2, 300), At(10));
  CHECK(LineOf(keeper, 50) ==
        LoadLine{
          .mUpstream = kOne, .mWaitUs = 350000, .mRunning = 2, .mKept = 5300 });
  // The first was read 60 ms later than expected, and so will be the second.
  keeper.Take(LoadBegun{ kOne, 1 }, At(160));
  CHECK(LineOf(keeper, 160).mWaitUs == 300000);
  keeper.Take(LoadEnded{ kOne, 1, true }, At(200));
  CHECK(LineOf(keeper, 200).mWaitUs == 260000);
  CHECK(LineOf(keeper, 200).mRunning == 1);
  // Its caller left before it was read: nobody waits for its prompt.
  keeper.Take(LoadEnded{ kOne, 2, false }, At(200));
  CHECK(LineOf(keeper, 200).mWaitUs == 0);
  CHECK(LineOf(keeper, 200).mRunning == 0);
  CHECK(LineOf(keeper, 200).mKept == 5300);
}

// Symptom: an engine that has just started again gets nothing, or is taken to
// keep prompts that it never read.
// Sequence: it starts again under its name; words of its earlier life come
// late.
TEST_CASE("AnAccountEndsWithItsUpstreamsIncarnation")
{
  LoadKeeper keeper;
  keeper.Take(Sent(1, 5000, 1), At(0));
  keeper.Take({ .mUpstream = kOne, .mIncarnation = Incarnation(2), .mSend = 2 },
              At(10));
  CHECK(LineOf(keeper, 10) ==
        LoadLine{ .mUpstream = kOne, .mWaitUs = 0, .mRunning = 1, .mKept = 0 });
  keeper.Take(Sent(3, 5000, 1), At(20));
  keeper.Take(LoadEnded{ kOne, 1, false }, At(20));
  CHECK(LineOf(keeper, 20).mRunning == 1);
  CHECK(LineOf(keeper, 20).mWaitUs == 0);
}

// Symptom: an engine looks full for ever.
// Sequence: an entry is killed while it has requests there; nobody tells their
// end.
TEST_CASE("SendsWhoseEndNobodyTellsAreForgotten")
{
  LoadKeeper keeper;
  for (std::uint64_t send = 1; send <= 12; ++send) {
    keeper.Take(Sent(send, 10), At(0));
  }
  keeper.Forget(At(15000));
  CHECK(LineOf(keeper, 15000).mRunning == 12);
  keeper.Forget(At(20000));
  CHECK(LineOf(keeper, 20000).mRunning == 0);
  CHECK(keeper.Accounts() == 1);
  keeper.Forget(At(301000));
  CHECK(keeper.Accounts() == 0);
}

TEST_CASE("OtherProcessesCannotFillAKeepersMemory")
{
  LoadKeeper keeper;
  for (std::uint64_t i = 0; i < 5000; ++i) {
    keeper.Take(Sent(i, 1), At(0));
    keeper.Take({ .mUpstream = UpstreamName("x" + std::to_string(i)),
                  .mIncarnation = Incarnation(1),
                  .mSend = i },
                At(0));
  }
  CHECK(LineOf(keeper, 0).mRunning == 1024);
  CHECK(keeper.Accounts() == 4096);
}

} // namespace peridotspool::gateway
