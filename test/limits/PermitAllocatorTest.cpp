// ctest-labels: unit limits
#include "peridotspool/limits/PermitAllocator.h"

#include <catch2/catch.hpp>

namespace peridotspool::limits {

namespace {

const UpstreamName kUpstream("u1");
const Address kFirst{ "10.0.0.1", 7000 };
const Address kSecond{ "10.0.0.2", 7000 };
constexpr std::uint64_t kAllocator = 7;

TimePoint
At(int aMilliseconds)
{
  return TimePoint(std::chrono::milliseconds(aMilliseconds));
}

bool
Always(const UpstreamName&, const FailureDomain&)
{
  return true;
}

bool
Never(const UpstreamName&, const FailureDomain&)
{
  return false;
}

LimitReport
Report(double aPerSecond, PermitReceipt aReceipt = {})
{
  return { .mUpstream = kUpstream,
           .mIncarnation = Incarnation(1),
           .mPerSecond = aPerSecond,
           .mReceipt = aReceipt };
}

SendPermitRequest
Ask(std::uint64_t aTag,
    std::uint32_t aMaxWaitMs = 0,
    std::uint32_t aPriority = 0)
{
  return { .mUpstream = kUpstream,
           .mIncarnation = Incarnation(1),
           .mTag = aTag,
           .mClaim = { .mPerSecond = 2.0, .mAgeMs = 100000 },
           .mPriority = aPriority,
           .mMaxWaitMs = aMaxWaitMs };
}

/** Returns the response to the request itself, which is the last one. */
SendPermitResponse
Request(PermitAllocator& aAllocator,
        const SendPermitRequest& aRequest,
        TimePoint aNow,
        bool aIsCoordinator = true)
{
  return aAllocator.HandleRequest(kFirst, aRequest, aIsCoordinator, aNow)
    .back()
    .mResponse;
}

} // namespace

TEST_CASE("APermitIsGrantedOnceOneHasAccumulated")
{
  PermitAllocator allocator(kAllocator);
  CHECK(allocator.HandleReport(Report(2.0), At(0)));
  const auto denied = Request(allocator, Ask(1), At(100));
  CHECK(denied.mOutcome == PermitOutcome::kDenied);
  CHECK(denied.mRetryAfterMs == 400);
  const auto granted = Request(allocator, Ask(2), At(500));
  CHECK(granted.mOutcome == PermitOutcome::kGranted);
  CHECK(granted.mReceipt.mAllocatorId == kAllocator);
}

TEST_CASE("TheMostUrgentRequestIsGrantedFirst")
{
  PermitAllocator allocator(kAllocator);
  allocator.HandleReport(Report(4.0), At(0));
  CHECK(Request(allocator, Ask(1, 500, 5), At(0)).mOutcome ==
        PermitOutcome::kQueued);
  allocator.HandleRequest(kSecond, Ask(1, 500, 2), true, At(10));
  const auto first = allocator.Tick(Always, At(260));
  REQUIRE(first.size() == 1);
  CHECK(first.front().mTo == kSecond);
  CHECK(first.front().mResponse.mOutcome == PermitOutcome::kGranted);
  const auto second = allocator.Tick(Always, At(499));
  REQUIRE(second.empty());
  const auto overdue = allocator.Tick(Always, At(500));
  REQUIRE(overdue.size() == 1);
  CHECK(overdue.front().mTo == kFirst);
}

// Guards against a caller that waits for a permit that can't come in time.
TEST_CASE("ARequestThatNoPermitCanReachInTimeIsDeniedAtOnce")
{
  PermitAllocator allocator(kAllocator);
  allocator.HandleReport(Report(2.0), At(0));
  CHECK(Request(allocator, Ask(1, 500), At(0)).mOutcome ==
        PermitOutcome::kQueued);
  const auto denied = Request(allocator, Ask(2, 500), At(0));
  CHECK(denied.mOutcome == PermitOutcome::kDenied);
  CHECK(denied.mRetryAfterMs == 1000);
}

TEST_CASE("AnEntryThatIsNotTheCoordinatorGrantsNothing")
{
  PermitAllocator allocator(kAllocator);
  allocator.HandleReport(Report(2.0), At(0));
  CHECK(Request(allocator, Ask(1), At(5000), false).mOutcome ==
        PermitOutcome::kNotCoordinator);
}

// Guards against a new coordinator that starts with permits of its own beside
// those that the former one has granted.
TEST_CASE("PermitsDoNotAccumulateAtAnEntryThatIsNotTheCoordinator")
{
  PermitAllocator allocator(kAllocator);
  allocator.HandleReport(Report(2.0), At(0));
  CHECK(allocator.Tick(Never, At(5000)).empty());
  CHECK(Request(allocator, Ask(1), At(5050)).mOutcome ==
        PermitOutcome::kDenied);
}

TEST_CASE("AQueuedRequestIsDeniedWhenTheCoordinatorIsReplaced")
{
  PermitAllocator allocator(kAllocator);
  allocator.HandleReport(Report(2.0), At(0));
  Request(allocator, Ask(1, 500), At(0));
  const auto denied = allocator.Tick(Never, At(50));
  REQUIRE(denied.size() == 1);
  CHECK(denied.front().mResponse.mOutcome == PermitOutcome::kNotCoordinator);
}

TEST_CASE("ANewCoordinatorLearnsTheLimitFromARequest")
{
  PermitAllocator allocator(kAllocator);
  CHECK(Request(allocator, Ask(1), At(0)).mOutcome == PermitOutcome::kDenied);
  CHECK(Request(allocator, Ask(2), At(500)).mOutcome ==
        PermitOutcome::kGranted);
}

// Guards against a new coordinator that grants by a limit that has fallen
// since.
TEST_CASE("ANewCoordinatorGrantsOnePermitUntilTheLimitIsStated")
{
  PermitAllocator allocator(kAllocator);
  Request(allocator, Ask(1), At(0));
  REQUIRE(Request(allocator, Ask(2), At(500)).mOutcome ==
          PermitOutcome::kGranted);
  CHECK(Request(allocator, Ask(3), At(1500)).mOutcome ==
        PermitOutcome::kDenied);
  allocator.HandleReport(Report(0.5), At(1600));
  CHECK(Request(allocator, Ask(4), At(1600)).mOutcome ==
        PermitOutcome::kGranted);
  CHECK(Request(allocator, Ask(5), At(1600)).mRetryAfterMs == 2000);
}

TEST_CASE("ACoordinatorGoesOnIfAPermitLedToNoStatement")
{
  PermitAllocator allocator(kAllocator);
  Request(allocator, Ask(1), At(0));
  Request(allocator, Ask(2), At(500));
  CHECK(Request(allocator, Ask(3), At(2500)).mOutcome ==
        PermitOutcome::kGranted);
}

// Guards against an entry with an old limit that raises a newer one.
TEST_CASE("TheNewestStatementOfALimitCounts")
{
  PermitAllocator allocator(kAllocator);
  allocator.HandleReport(Report(0.5), At(0));
  Request(allocator, Ask(1), At(500));
  const auto state = allocator.StateOf(kUpstream, Always, At(500));
  REQUIRE(state);
  CHECK(state->mClaim.mPerSecond == 0.5);
}

// Guards against a limit that rises because an older statement arrives last.
TEST_CASE("AHigherLimitIsAppliedOnlyIfItIsCertainlyNewer")
{
  PermitAllocator allocator(kAllocator);
  allocator.HandleReport(Report(0.5), At(0));
  CHECK_FALSE(allocator.HandleReport(Report(4.0), At(999)));
  CHECK(allocator.HandleReport(Report(4.0), At(1000)));
  CHECK(allocator.HandleReport(Report(0.5), At(1001)));
}

TEST_CASE("AReturnedPermitIsGrantedAgainOnlyOnce")
{
  PermitAllocator allocator(kAllocator);
  allocator.HandleReport(Report(1.0), At(0));
  REQUIRE(Request(allocator, Ask(1), At(1000)).mOutcome ==
          PermitOutcome::kGranted);
  const SendPermitReturn returned{ .mUpstream = kUpstream, .mTag = 1 };
  allocator.HandleReturn(kFirst, returned, At(1000));
  allocator.HandleReturn(kFirst, returned, At(1000));
  CHECK(Request(allocator, Ask(2), At(1000)).mOutcome ==
        PermitOutcome::kGranted);
  CHECK(Request(allocator, Ask(3), At(1000)).mOutcome ==
        PermitOutcome::kDenied);
}

TEST_CASE("ALimitEndsWithAResponseToARequestPermittedAfterTheLastStatement")
{
  PermitAllocator allocator(kAllocator);
  allocator.HandleReport(Report(2.0), At(0));
  const auto granted = Request(allocator, Ask(1), At(500));
  REQUIRE(granted.mOutcome == PermitOutcome::kGranted);
  SECTION("no statement since")
  {
    CHECK(allocator.HandleReport(Report(0.0, granted.mReceipt), At(700)));
    CHECK_FALSE(allocator.StateOf(kUpstream, Always, At(700)));
    CHECK(Request(allocator, Ask(2), At(700)).mOutcome ==
          PermitOutcome::kUnlimited);
  }
  SECTION("a statement since")
  {
    allocator.HandleReport(Report(2.0), At(600));
    CHECK_FALSE(allocator.HandleReport(Report(0.0, granted.mReceipt), At(700)));
  }
  SECTION("a permit of another coordinator")
  {
    CHECK_FALSE(allocator.HandleReport(
      Report(0.0, { .mAllocatorId = 8, .mGrantedAt = 1000000000 }), At(700)));
  }
}

TEST_CASE("ALaterIncarnationStartsWithoutTheLimitOfAnEarlierOne")
{
  PermitAllocator allocator(kAllocator);
  allocator.HandleReport(Report(2.0), At(0));
  LimitReport later = Report(8.0);
  later.mIncarnation = Incarnation(2);
  CHECK(allocator.HandleReport(later, At(100)));
  CHECK_FALSE(allocator.HandleReport(Report(2.0), At(200)));
  CHECK(allocator.StateOf(kUpstream, Always, At(200))->mClaim.mPerSecond ==
        8.0);
}

TEST_CASE("RecordsThatNobodyUsesAreDropped")
{
  PermitAllocator allocator(kAllocator);
  allocator.HandleReport(Report(2.0), At(0));
  allocator.RemoveExpired(At(1000));
  CHECK(allocator.RecordCount() == 1);
  allocator.RemoveExpired(TimePoint(std::chrono::minutes(10)));
  CHECK(allocator.RecordCount() == 0);
}

} // namespace peridotspool::limits
