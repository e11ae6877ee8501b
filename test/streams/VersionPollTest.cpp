// ctest-labels: promise-whole-own-answer
#include "peridotspool/streams/VersionPoll.h"

#include <catch2/catch.hpp>

namespace peridotspool::streams {

namespace {

const StreamOrigin kOrigin{ .mService = ServiceName("s"),
                            .mVersion = VersionName("v1") };
const OriginAnswer kSame{ .mKnowledge = OriginKnowledge::kKnown,
                          .mOrigin = kOrigin };
const OriginAnswer kOther{ .mKnowledge = OriginKnowledge::kKnown,
                           .mOrigin = { .mService = ServiceName("s"),
                                        .mVersion = VersionName("v2") } };
const OriginAnswer kSeveral{ .mKnowledge = OriginKnowledge::kAmbiguous };

TimePoint
At(int aMs)
{
  return TimePoint(std::chrono::milliseconds(aMs));
}

Address
Entry(std::uint16_t aNumber)
{
  return { "127.0.0.1", aNumber };
}

/** A poll of eight entries. */
struct EightEntries
{
  EightEntries()
  {
    std::vector<Address> entries;
    for (std::uint16_t i = 1; i <= 8; ++i) {
      entries.push_back(Entry(i));
    }
    mQuery = mPoll.Begin(kOrigin, entries, At(0));
  }

  std::optional<VersionDecision> Respond(std::uint16_t aEntry,
                                         const OriginAnswer& aAnswer)
  {
    return mPoll.HandleResponse(Entry(aEntry),
                                { .mTag = mQuery.mTag, .mAnswer = aAnswer });
  }

  VersionPoll mPoll{ 7 };
  VersionQuery mQuery;
};

} // namespace

TEST_CASE("AVersionIsConfirmedByAMajority")
{
  EightEntries poll;
  CHECK(poll.mQuery.mService == kOrigin.mService);
  for (std::uint16_t i = 1; i <= 3; ++i) {
    CHECK_FALSE(poll.Respond(i, kSame));
    INFO("a response counts once");
    CHECK_FALSE(poll.Respond(i, kSame));
  }
  const auto decided = poll.Respond(4, kSame);
  REQUIRE(decided);
  CHECK(decided->mTag == poll.mQuery.mTag);
  CHECK(decided->mAnswer == kSame);
  CHECK(poll.mPoll.Tick(At(1000)).empty());
}

TEST_CASE("OneEntryThatKnowsAnotherVersionIsEnough")
{
  const OriginAnswer answer = GENERATE(kOther, kSeveral);
  EightEntries poll;
  CHECK_FALSE(poll.Respond(1, kSame));
  const auto decided = poll.Respond(2, answer);
  REQUIRE(decided);
  CHECK(decided->mAnswer.mKnowledge == OriginKnowledge::kUnknown);
}

// Guards against an entry that is cut off and takes silence for agreement.
TEST_CASE("SilenceConfirmsNothing")
{
  EightEntries poll;
  for (std::uint16_t i = 1; i <= 3; ++i) {
    poll.Respond(i, kSame);
  }
  CHECK(poll.mPoll.Tick(At(299)).empty());
  const auto timedOut = poll.mPoll.Tick(At(300));
  REQUIRE(timedOut.size() == 1);
  CHECK(timedOut[0].mAnswer.mKnowledge == OriginKnowledge::kUndetermined);
  CHECK_FALSE(poll.Respond(4, kSame));
}

// Guards against entries that have just started and know no upstream yet.
TEST_CASE("EntriesThatKnowNothingConfirmNothing")
{
  EightEntries poll;
  for (std::uint16_t i = 1; i <= 7; ++i) {
    CHECK_FALSE(poll.Respond(i, {}));
  }
  const auto decided = poll.Respond(8, kSame);
  REQUIRE(decided);
  CHECK(decided->mAnswer.mKnowledge == OriginKnowledge::kUndetermined);
}

TEST_CASE("ACancelledPollIsDecidedByNothing")
{
  EightEntries poll;
  poll.mPoll.Cancel(poll.mQuery.mTag);
  CHECK_FALSE(poll.Respond(1, kOther));
  CHECK(poll.mPoll.Tick(At(1000)).empty());
}

} // namespace peridotspool::streams
