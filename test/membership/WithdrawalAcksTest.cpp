// ctest-labels: promise-leaving-upstream
#include "peridotspool/membership/WithdrawalAcks.h"

#include <catch2/catch.hpp>

namespace peridotspool::membership {

namespace {

using Decisions = std::vector<WithdrawalDecision>;

TimePoint
At(int aMs)
{
  return TimePoint(std::chrono::milliseconds(aMs));
}

} // namespace

TEST_CASE("AWithdrawalIsAcknowledgedOnceItsVersionIsHeld")
{
  WithdrawalAcks acks;
  REQUIRE(acks.Add(1, 10, At(0)));
  REQUIRE(acks.Add(2, 12, At(0)));
  CHECK(acks.Step(9, At(5)).empty());
  CHECK(acks.Step(11, At(6)) ==
        Decisions{ { .mCall = 1, .mAcknowledged = true } });
  CHECK(acks.Step(11, At(7)).empty());
  CHECK(acks.Step(20, At(8)) ==
        Decisions{ { .mCall = 2, .mAcknowledged = true } });
}

// Guards against an upstream that waits in vain at a replica that reaches no
// majority: it is told to call another one while it still listens.
TEST_CASE("AWithdrawalThatNoMajorityHoldsIsRefusedInTime")
{
  WithdrawalAcks acks({ .mTimeout = std::chrono::milliseconds(700) });
  REQUIRE(acks.Add(1, 10, At(0)));
  CHECK(acks.Step(9, At(699)).empty());
  CHECK(acks.Step(9, At(700)) ==
        Decisions{ { .mCall = 1, .mAcknowledged = false } });
  CHECK(acks.Step(10, At(701)).empty());
}

TEST_CASE("WithdrawalsBeyondTheBoundAreNotTaken")
{
  WithdrawalAcks acks({ .mMaxWaiting = 1 });
  CHECK(acks.Add(1, 10, At(0)));
  CHECK_FALSE(acks.Add(2, 10, At(0)));
  CHECK(acks.Step(10, At(1)).size() == 1);
  CHECK(acks.Add(2, 10, At(1)));
}

} // namespace peridotspool::membership
