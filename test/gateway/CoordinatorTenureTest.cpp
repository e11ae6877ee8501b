// ctest-labels: unit limits
#include "peridotspool/gateway/CoordinatorTenure.h"

#include <catch2/catch.hpp>

namespace peridotspool::gateway {

namespace {

const UpstreamName kUpstream("u1");
const FailureDomain kDomain("d1");
const Address kSelf{ "10.0.0.1", 7000 };
const Address kOther{ "10.0.0.2", 7000 };

TimePoint
At(int aMilliseconds)
{
  return TimePoint(std::chrono::milliseconds(aMilliseconds));
}

CoordinatorMap
MapOf(const Address& aAddress)
{
  CoordinatorMap map;
  map.Set({ { .mAddress = aAddress, .mDomain = kDomain } });
  return map;
}

class ATenure
{
public:
  ATenure() { mTenure.SetSelf(kSelf); }
  void Epoch(std::uint64_t aEpoch, const Address& aAddress, int aAtMs)
  {
    mTenure.ApplyEpoch(EpochNumber(aEpoch), MapOf(aAddress), At(aAtMs));
  }
  bool CoversAt(int aAtMs, int aConfirmedAtMs)
  {
    mTenure.SetConfirmedAt(At(aConfirmedAtMs));
    return mTenure.Covers(kUpstream, kDomain, At(aAtMs));
  }

private:
  CoordinatorTenure mTenure;
};

} // namespace

// Guards against a new coordinator that grants while an earlier one may.
TEST_CASE("ANewCoordinatorWaitsForTheEndOfAnEarlierOnesLease")
{
  ATenure tenure;
  CHECK_FALSE(tenure.CoversAt(0, 0));
  tenure.Epoch(1, kSelf, 0);
  CHECK_FALSE(tenure.CoversAt(1049, 1000));
  CHECK(tenure.CoversAt(1050, 1000));
}

TEST_CASE("AnEpochWithTheSameCoordinatorInterruptsNothing")
{
  ATenure tenure;
  tenure.Epoch(1, kSelf, 0);
  tenure.Epoch(2, kSelf, 2000);
  CHECK(tenure.CoversAt(2001, 2000));
}

TEST_CASE("ACoordinatorThatWasReplacedForATimeWaitsAgain")
{
  ATenure tenure;
  tenure.Epoch(1, kSelf, 0);
  tenure.Epoch(2, kOther, 2000);
  CHECK_FALSE(tenure.CoversAt(2001, 2000));
  tenure.Epoch(3, kSelf, 2100);
  CHECK_FALSE(tenure.CoversAt(3100, 3000));
  CHECK(tenure.CoversAt(3150, 3100));
}

// Guards against an entry that missed the epoch of another coordinator.
TEST_CASE("AMissedEpochCountsAsAnotherCoordinator")
{
  ATenure tenure;
  tenure.Epoch(1, kSelf, 0);
  tenure.Epoch(3, kSelf, 2000);
  CHECK_FALSE(tenure.CoversAt(3000, 2900));
  CHECK(tenure.CoversAt(3050, 2900));
}

// Guards against a coordinator that was frozen or cut off from the leader.
TEST_CASE("ACoordinatorWithoutARecentConfirmationGrantsNothing")
{
  ATenure tenure;
  tenure.Epoch(1, kSelf, 0);
  CHECK(tenure.CoversAt(5000, 4001));
  CHECK_FALSE(tenure.CoversAt(5001, 4001));
}

} // namespace peridotspool::gateway
