// ctest-labels: unit limits
#include "peridotspool/limits/UpstreamLimits.h"

#include <catch2/catch.hpp>

namespace peridotspool::limits {

namespace {

const UpstreamName kUpstream("u1");

TimePoint
At(int aMilliseconds)
{
  return TimePoint(std::chrono::milliseconds(aMilliseconds));
}

StatedBy
SentAt(int aMilliseconds, std::uint64_t aIncarnation = 1)
{
  return { .mUpstream = kUpstream,
           .mIncarnation = Incarnation(aIncarnation),
           .mSentAt = At(aMilliseconds),
           .mIsGenuine = true };
}

RateStatement
Limit(double aPerSecond)
{
  return { .mKind = RateStatement::Kind::kLimit, .mPerSecond = aPerSecond };
}

} // namespace

TEST_CASE("AStatedLimitIsKnownUntilALaterRequestIsAnsweredWithoutIt")
{
  UpstreamLimits limits;
  CHECK(limits.RecordResponse(SentAt(0), Limit(2), At(100)) ==
        LimitChange::kSet);
  REQUIRE(limits.Find(kUpstream) != nullptr);
  CHECK(limits.Find(kUpstream)->mPerSecond == 2.0);
  CHECK(limits.RecordResponse(SentAt(150), Limit(2), At(200)) ==
        LimitChange::kNone);
  CHECK(limits.RecordResponse(SentAt(250), {}, At(300)) == LimitChange::kEnded);
  CHECK(limits.Find(kUpstream) == nullptr);
}

// Guards against a limit that ends because an older response arrives late.
TEST_CASE("AResponseToAnEarlierRequestDoesNotEndTheLimit")
{
  UpstreamLimits limits;
  limits.RecordResponse(SentAt(50), Limit(2), At(100));
  CHECK(limits.RecordResponse(SentAt(40), {}, At(900)) == LimitChange::kNone);
  CHECK(limits.Find(kUpstream) != nullptr);
}

// Guards against a limit that ends because a proxy or another process answers
// in the upstream's place.
TEST_CASE("AResponseThatIsNotTheUpstreamsDoesNotEndTheLimit")
{
  UpstreamLimits limits;
  limits.RecordResponse(SentAt(0), Limit(2), At(100));
  StatedBy by = SentAt(200);
  by.mIsGenuine = false;
  CHECK(limits.RecordResponse(by, {}, At(300)) == LimitChange::kNone);
  CHECK(limits.Find(kUpstream) != nullptr);
}

TEST_CASE("AnInvalidStatementIsReportedOnceAndChangesNothing")
{
  UpstreamLimits limits;
  const RateStatement invalid{ .mKind = RateStatement::Kind::kInvalid };
  limits.RecordResponse(SentAt(0), Limit(2), At(100));
  CHECK(limits.RecordResponse(SentAt(150), invalid, At(200)) ==
        LimitChange::kInvalid);
  CHECK(limits.RecordResponse(SentAt(250), invalid, At(300)) ==
        LimitChange::kNone);
  REQUIRE(limits.Find(kUpstream) != nullptr);
  CHECK(limits.Find(kUpstream)->mPerSecond == 2.0);
}

TEST_CASE("ALimitBelongsToOneIncarnation")
{
  UpstreamLimits limits;
  limits.RecordResponse(SentAt(0, 2), Limit(2), At(100));
  CHECK(limits.RecordResponse(SentAt(0, 1), Limit(9), At(200)) ==
        LimitChange::kNone);
  CHECK(limits.Find(kUpstream)->mPerSecond == 2.0);
  limits.Remove(kUpstream);
  CHECK(limits.Count() == 0);
}

TEST_CASE("TheNewestOfOwnAndCoordinatorsStatementsCounts")
{
  UpstreamLimits limits;
  const LimitState state{ .mUpstream = kUpstream,
                          .mIncarnation = Incarnation(1),
                          .mClaim = { .mPerSecond = 4.0, .mAgeMs = 100 } };
  CHECK(limits.ApplyCoordinatorState(state, At(1000)) == LimitChange::kSet);
  CHECK(limits.Find(kUpstream)->mStatedAt == At(900));
  limits.RecordResponse(SentAt(900), Limit(2), At(950));
  CHECK(limits.ApplyCoordinatorState(state, At(1010)) == LimitChange::kNone);
  CHECK(limits.Find(kUpstream)->mPerSecond == 2.0);
}

TEST_CASE("ACoordinatorEndsALimitThatWasNotStatedSince")
{
  UpstreamLimits limits;
  limits.RecordResponse(SentAt(0), Limit(2), At(100));
  CHECK(limits.End(kUpstream, At(50)) == LimitChange::kNone);
  CHECK(limits.End(kUpstream, At(100)) == LimitChange::kEnded);
  CHECK(limits.End(kUpstream, At(100)) == LimitChange::kNone);
}

} // namespace peridotspool::limits
