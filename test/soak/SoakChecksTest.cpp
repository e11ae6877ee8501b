// ctest-labels: unit
#include "soak/SoakChecks.h"
#include "soak/SoakAnswers.h"

#include <catch2/catch.hpp>

namespace peridotspool::soak {

namespace {

Time
At(int aMs)
{
  return Time(std::chrono::seconds(1000) + Ms(aMs));
}

/** A run in which every promise is kept. */
Record
GoodRecord()
{
  Record record;
  for (int i = 0; i < 40; ++i) {
    const std::string id = "r" + std::to_string(i);
    const Kind kind = static_cast<Kind>(i % 4);
    std::string body = PlainAnswer(id, "u1");
    if (IsStream(kind)) {
      body.clear();
      for (int number = 1; number <= kStreamEvents; ++number) {
        body += StreamEvent(id, number);
      }
    }
    const Time sent = At(500 * i);
    record.mRequests.push_back({ .mId = id,
                                 .mKind = kind,
                                 .mMachine = 1,
                                 .mSentAt = sent,
                                 .mEndedAt = sent + Ms(100),
                                 .mEnding = Ending::kAnswered,
                                 .mStatus = 200,
                                 .mHasProof = true,
                                 .mBody = body });
    record.mRuns.push_back({ .mId = id,
                             .mUpstream = "u1",
                             .mService = NameOf(kind),
                             .mAt = sent + Ms(5) });
  }
  record.mChanges = {
    { .mVersion = 1, .mSentAt = At(0), .mAckedAt = At(50) },
    { .mVersion = 4, .mSentAt = At(1000), .mAckedAt = At(1050) }
  };
  record.mInForce = { { .mMachine = 1,
                        .mLife = 1,
                        .mSentAt = At(200),
                        .mAnsweredAt = At(210),
                        .mVersion = 1 },
                      { .mMachine = 1,
                        .mLife = 1,
                        .mSentAt = At(9000),
                        .mAnsweredAt = At(9010),
                        .mVersion = 4 } };
  record.mRead = { { .mMachine = 2,
                     .mSentAt = At(12000),
                     .mAnsweredAt = At(12010),
                     .mVersion = 4 } };
  record.mCalmSince = At(5000);
  record.mEnd = At(20000);
  return record;
}

std::string
FirstFault(const Record& aRecord)
{
  const auto broken = Check(aRecord);
  return broken.empty() ? "" : broken.front();
}

} // namespace

TEST_CASE("ARunInWhichAllIsKeptPasses")
{
  CHECK(FirstFault(GoodRecord()).empty());
}

// A check that finds nothing proves nothing: each is shown a run in which its
// promise is broken.
TEST_CASE("EachBrokenPromiseIsFound")
{
  Record record = GoodRecord();
  SECTION("an answer of another request")
  {
    record.mRequests[4].mBody = record.mRequests[0].mBody;
    CHECK_THAT(FirstFault(record), Catch::Contains("not its whole own answer"));
  }
  SECTION("a stream that lacks an event")
  {
    record.mRequests[2].mBody.erase(0, StreamEvent("r2", 1).size());
    CHECK_THAT(FirstFault(record), Catch::Contains("not its whole own answer"));
  }
  SECTION("a second run")
  {
    record.mRuns.push_back(record.mRuns[1]);
    CHECK_THAT(FirstFault(record), Catch::Contains("ran 2 times"));
  }
  SECTION("a refusal of what has run")
  {
    record.mRequests[1].mStatus = 503;
    record.mRequests[1].mHasRetryAfter = true;
    CHECK_THAT(FirstFault(record), Catch::Contains("refused as not run"));
  }
  SECTION("a harmless request that is held to end upstreams")
  {
    record.mRequests[0].mStatus = 503;
    record.mRequests[0].mHasRetryAfter = true;
    record.mRequests[0].mBody =
      R"({"reason":"upstreams end under requests like this one"})";
    record.mRuns.erase(record.mRuns.begin());
    CHECK_THAT(FirstFault(record), Catch::Contains("ends none"));
  }
  SECTION("a run at another service")
  {
    record.mRuns[1].mService = "safe";
    CHECK_THAT(FirstFault(record), Catch::Contains("ran at an upstream of"));
  }
  SECTION("a run that nobody asked for")
  {
    record.mRuns.push_back({ .mId = "stranger", .mService = "safe" });
    CHECK_THAT(FirstFault(record), Catch::Contains("that no caller sent"));
  }
  SECTION("an entry that goes back")
  {
    record.mInForce.push_back({ .mMachine = 1,
                                .mLife = 1,
                                .mSentAt = At(9500),
                                .mAnsweredAt = At(9510),
                                .mVersion = 1 });
    CHECK_THAT(FirstFault(record), Catch::Contains("went back from 4 to 1"));
  }
  SECTION("an old version read back")
  {
    record.mRead.push_back({ .mMachine = 3,
                             .mSentAt = At(6000),
                             .mAnsweredAt = At(6010),
                             .mVersion = 1 });
    CHECK_THAT(FirstFault(record), Catch::Contains("was read back"));
  }
  SECTION("an invalid change that is taken")
  {
    record.mChanges.push_back(
      { .mVersion = 9, .mValid = false, .mSentAt = At(1), .mAckedAt = At(2) });
    CHECK_THAT(FirstFault(record), Catch::Contains("was acknowledged"));
  }
  SECTION("work for an upstream that has left")
  {
    record.mDrains.push_back({ .mUpstream = "u1", .mAckedAt = At(100) });
    CHECK_THAT(FirstFault(record), Catch::Contains("that it leaves"));
  }
  SECTION("a planned stop that cuts")
  {
    record.mSpans.push_back({ .mWhat = "planned stop",
                              .mFrom = At(400),
                              .mTo = At(4000),
                              .mStoppedMachine = 1 });
    record.mRequests[2].mEnding = Ending::kCut;
    CHECK_THAT(FirstFault(record), Catch::Contains("the planned stop of"));
  }
  SECTION("usage that is told in two ways")
  {
    record.mDuties = { { .mHolder = "m1",
                         .mFence = 3,
                         .mPath = "/usage",
                         .mBody = R"({"window":7,"counts":{"a":1}})" },
                       { .mHolder = "m1",
                         .mFence = 3,
                         .mPath = "/usage",
                         .mBody = R"({"window":7,"counts":{"a":2}})" } };
    CHECK_THAT(FirstFault(record), Catch::Contains("told in two ways"));
  }
  SECTION("two holders of one number")
  {
    record.mDuties = { { .mHolder = "m1", .mFence = 3, .mPath = "/scale" },
                       { .mHolder = "m2", .mFence = 3, .mPath = "/scale" } };
    CHECK_THAT(FirstFault(record), Catch::Contains("two holders"));
  }
  SECTION("no service after all is over")
  {
    for (std::size_t i = 30; i < 34; ++i) {
      record.mRequests[i].mEnding = Ending::kNoConnection;
    }
    CHECK_THAT(FirstFault(record), Catch::Contains("were served"));
  }
}

} // namespace peridotspool::soak
