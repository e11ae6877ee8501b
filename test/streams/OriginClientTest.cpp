// ctest-labels: unit
#include "peridotspool/streams/OriginClient.h"

#include <catch2/catch.hpp>

namespace peridotspool::streams {

namespace {

constexpr TimePoint kNow{ std::chrono::seconds(100) };
const Address kOne{ "10.0.0.1", 7600 };
const Address kOther{ "10.0.0.2", 7600 };
const StreamKey kKey = StreamKeyOf(CustomerName("c"), "a");

OriginAnswer
Known(const std::string& aVersion)
{
  return { .mKnowledge = OriginKnowledge::kKnown,
           .mOrigin = { .mService = ServiceName("s"),
                        .mVersion = VersionName(aVersion),
                        .mUpstream = UpstreamName("u") },
           .mLifetimeMs = 1000 };
}

TimePoint
After(int aMs)
{
  return kNow + std::chrono::milliseconds(aMs);
}

} // namespace

TEST_CASE("AWriteIsConfirmedByTheFirstAcknowledgement")
{
  OriginClient client(7);
  const OriginCall call =
    client.Write({ kKey, Known("v1") }, { kOne, kOther }, kNow);
  CHECK(call.mMessages.size() == 2);
  CHECK(client.HandleAck(kOther, { .mTag = call.mTag }));
  CHECK_FALSE(client.HandleAck(kOther, { .mTag = call.mTag }));
  CHECK_FALSE(client.HandleAck(kOne, { .mTag = call.mTag }));
  CHECK(client.PendingCount() == 0);
}

TEST_CASE("AnAcknowledgementOfAnotherWriteConfirmsNothing")
{
  OriginClient client(7);
  const OriginCall call = client.Write({ kKey, Known("v1") }, { kOne }, kNow);
  CHECK_FALSE(client.HandleAck(kOne, { .mTag = call.mTag - 1 }));
  CHECK_FALSE(client.HandleAck(kOther, { .mTag = call.mTag }));
}

// Guards against a record that is held nowhere because a message was lost.
TEST_CASE("AWriteIsSentAgainToThoseThatHaveNotConfirmedIt")
{
  OriginClient client(7);
  const OriginCall call =
    client.Write({ kKey, Known("v1") }, { kOne, kOther }, kNow);
  client.HandleAck(kOne, { .mTag = call.mTag });
  CHECK(client.Tick(After(50)).mMessages.empty());
  const OriginTick tick = client.Tick(After(100));
  REQUIRE(tick.mMessages.size() == 1);
  CHECK(tick.mMessages.front().mTo == kOther);
  client.Tick(After(2000));
  CHECK(client.PendingCount() == 0);
}

TEST_CASE("ALookupEndsWithTheFirstEntryThatKnows")
{
  OriginClient client(7);
  const OriginCall call = client.LookUp(kKey, { kOne, kOther }, kNow);
  CHECK_FALSE(client.HandleResponse(kOne, { .mTag = call.mTag }));
  const auto decided =
    client.HandleResponse(kOther, { call.mTag, Known("v1") });
  REQUIRE(decided);
  CHECK(decided->mAnswer == Known("v1"));
  CHECK_FALSE(client.HandleResponse(kOther, { call.mTag, Known("v2") }));
}

// Guards against a stream that counts as unknown because one entry that has
// restarted knows nothing of it.
TEST_CASE("OnlyTheResponsesOfAllEntriesShowThatNobodyKnows")
{
  OriginClient client(7);
  const OriginCall call = client.LookUp(kKey, { kOne, kOther }, kNow);
  CHECK_FALSE(client.HandleResponse(kOne, { .mTag = call.mTag }));
  CHECK_FALSE(client.HandleResponse(kOne, { .mTag = call.mTag }));
  const auto decided = client.HandleResponse(kOther, { .mTag = call.mTag });
  REQUIRE(decided);
  CHECK(decided->mAnswer.mKnowledge == OriginKnowledge::kUnknown);
}

TEST_CASE("ALookupWithoutAllResponsesIsUndetermined")
{
  OriginClient client(7);
  const OriginCall call = client.LookUp(kKey, { kOne, kOther }, kNow);
  client.HandleResponse(kOne, { .mTag = call.mTag });
  const OriginTick again = client.Tick(After(100));
  REQUIRE(again.mMessages.size() == 1);
  CHECK(again.mMessages.front().mTo == kOther);
  CHECK(again.mTimedOut.empty());
  const OriginTick last = client.Tick(After(300));
  REQUIRE(last.mTimedOut.size() == 1);
  CHECK(last.mTimedOut.front().mAnswer.mKnowledge ==
        OriginKnowledge::kUndetermined);
  CHECK_FALSE(client.HandleResponse(kOther, { call.mTag, Known("v1") }));
}

TEST_CASE("ACancelledLookupIsNotDecided")
{
  OriginClient client(7);
  const OriginCall call = client.LookUp(kKey, { kOne }, kNow);
  client.CancelLookup(call.mTag);
  CHECK_FALSE(client.HandleResponse(kOne, { call.mTag, Known("v1") }));
  CHECK(client.Tick(After(300)).mTimedOut.empty());
}

} // namespace peridotspool::streams
