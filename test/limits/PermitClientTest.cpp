// ctest-labels: unit limits
#include "peridotspool/limits/PermitClient.h"

#include <catch2/catch.hpp>

namespace peridotspool::limits {

namespace {

TimePoint
At(int aMilliseconds)
{
  return TimePoint(std::chrono::milliseconds(aMilliseconds));
}

const PermitDemand kDemand{ .mUpstream = UpstreamName("u1"),
                            .mIncarnation = Incarnation(1),
                            .mMaxWait = std::chrono::milliseconds(400) };
const KnownLimit kLimit{ .mIncarnation = Incarnation(1),
                         .mPerSecond = 2.0,
                         .mStatedAt = TimePoint(std::chrono::seconds(1)) };

SendPermitResponse
ResponseTo(const SendPermitRequest& aRequest, PermitOutcome aOutcome)
{
  return { .mUpstream = aRequest.mUpstream,
           .mTag = aRequest.mTag,
           .mOutcome = aOutcome };
}

} // namespace

TEST_CASE("ARequestCarriesTheLimitThatTheEntryKnows")
{
  PermitClient client(0);
  const auto request = client.Request(kDemand, kLimit, At(1500));
  CHECK(request.mClaim == LimitClaim{ .mPerSecond = 2.0, .mAgeMs = 500 });
  CHECK(request.mMaxWaitMs == 400);
}

TEST_CASE("AGrantedPermitIsUsed")
{
  PermitClient client(0);
  const auto request = client.Request(kDemand, kLimit, At(1500));
  const auto result = client.HandleResponse(
    ResponseTo(request, PermitOutcome::kGranted), At(1510));
  REQUIRE(result.mDecision);
  CHECK(result.mDecision->mOutcome == PermitOutcome::kGranted);
  CHECK_FALSE(result.mReturn);
  CHECK(client.PendingCount() == 0);
}

// Guards against delayed permits that add up at the upstream.
TEST_CASE("APermitThatArrivesTooLateIsReturned")
{
  PermitClient client(0);
  const auto request = client.Request(kDemand, kLimit, At(1500));
  client.HandleResponse(ResponseTo(request, PermitOutcome::kQueued), At(1510));
  const auto result = client.HandleResponse(
    ResponseTo(request, PermitOutcome::kGranted), At(2100));
  REQUIRE(result.mDecision);
  CHECK_FALSE(result.mDecision->mOutcome);
  CHECK(result.mReturn);
}

TEST_CASE("APermitForACancelledRequestIsReturned")
{
  PermitClient client(0);
  const auto request = client.Request(kDemand, kLimit, At(1500));
  CHECK(client.Cancel(request.mTag));
  CHECK_FALSE(client.Cancel(request.mTag));
  const auto result = client.HandleResponse(
    ResponseTo(request, PermitOutcome::kGranted), At(1510));
  CHECK_FALSE(result.mDecision);
  CHECK(result.mReturn);
}

// Guards against a permit that is used and also returned.
TEST_CASE("ASecondCopyOfAGrantIsNotReturned")
{
  PermitClient client(0);
  const auto request = client.Request(kDemand, kLimit, At(1500));
  const auto response = ResponseTo(request, PermitOutcome::kGranted);
  client.HandleResponse(response, At(1510));
  CHECK_FALSE(client.HandleResponse(response, At(1520)).mReturn);
}

// Guards against callers that wait for a coordinator that is gone.
TEST_CASE("ASilentCoordinatorIsGivenUpSoon")
{
  PermitClient client(0);
  const auto silent = client.Request(kDemand, kLimit, At(1500));
  const auto queued = client.Request(kDemand, kLimit, At(1500));
  client.HandleResponse(ResponseTo(queued, PermitOutcome::kQueued), At(1510));
  CHECK(client.Tick(At(1599)).empty());
  const auto decisions = client.Tick(At(1600));
  REQUIRE(decisions.size() == 1);
  CHECK(decisions.front().mTag == silent.mTag);
  CHECK_FALSE(decisions.front().mOutcome);
  CHECK(client.Tick(At(2100)).size() == 1);
}

} // namespace peridotspool::limits
