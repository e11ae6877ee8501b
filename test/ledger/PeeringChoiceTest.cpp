// ctest-labels: unit
#include "ledger/PeeringChoice.h"

#include <catch2/catch.hpp>

namespace peridotspool::ledger {

namespace {

constexpr MemberId kA(1);
constexpr MemberId kB(2);
constexpr MemberId kC(3);
constexpr MemberId kD(4);
constexpr MemberId kE(5);

ShardReport
Holds(std::uint64_t aActivated,
      std::uint64_t aSequence,
      std::vector<MemberId> aSet,
      std::vector<PastSet> aLater = {})
{
  ShardReport report;
  report.mActivated = EpochNumber(aActivated);
  report.mActivatedSet = std::move(aSet);
  report.mLast = { .mInterval = EpochNumber(aActivated),
                   .mSequence = SequenceNumber(aSequence) };
  report.mLater = std::move(aLater);
  report.mLaterIsComplete = true;
  return report;
}

PeeringChoice
Choose(const std::vector<MemberId>& aSet,
       const std::set<MemberId>& aMembers,
       const std::map<MemberId, ShardReport>& aReports,
       CommitRule aRule = CommitRule::kAllReplicas)
{
  return ChooseSource({ .mRule = aRule,
                        .mSet = aSet,
                        .mMembers = aMembers,
                        .mReports = aReports });
}

} // namespace

TEST_CASE("TakesTheNewestCopyOfTheNewestInterval")
{
  const auto choice = Choose({ kA, kB },
                             { kA, kB, kC },
                             { { kA, Holds(3, 90, { kA, kC }) },
                               { kB, Holds(5, 7, { kB, kC }) },
                               { kC, Holds(5, 9, { kB, kC }) } });
  CHECK(choice.mReady);
  CHECK(choice.mSource == kC);
  CHECK_FALSE(choice.mMayMissCommits);
}

TEST_CASE("WaitsForAllOfTheNewSet")
{
  CHECK_FALSE(
    Choose({ kA, kB }, { kA, kB }, { { kA, Holds(3, 9, { kA, kB }) } }).mReady);
}

TEST_CASE("WaitsForALaterSetThatMayHaveGoneActive")
{
  // kD and kE were the replica set after the copy that kA holds.
  const std::vector<PastSet> later{ { .mEpoch = EpochNumber(4),
                                      .mMembers = { kD, kE } } };
  const ShardReport old = Holds(3, 9, { kA, kB }, later);
  CHECK_FALSE(Choose({ kA }, { kA, kD, kE }, { { kA, old } }).mReady);
  // One of them reports that it was never activated, so nothing was committed
  // there.
  const auto choice =
    Choose({ kA }, { kA, kD, kE }, { { kA, old }, { kD, ShardReport() } });
  CHECK(choice.mReady);
  CHECK_FALSE(choice.mMayMissCommits);
  // Both have left permanently, so anything they committed is lost.
  const auto gone = Choose({ kA }, { kA }, { { kA, old } });
  CHECK(gone.mReady);
  CHECK(gone.mMayMissCommits);
}

TEST_CASE("QueriesAllMembersWhenPastSetsAreUnknown")
{
  ShardReport gap = Holds(3, 9, { kA, kB });
  gap.mLaterIsComplete = false;
  CHECK_FALSE(Choose({ kA }, { kA, kC }, { { kA, gap } }).mReady);
  CHECK(
    Choose({ kA }, { kA, kC }, { { kA, gap }, { kC, ShardReport() } }).mReady);
}

TEST_CASE("TreatsAnEmptyShardAsNewOnlyIfAllMembersReportNoCopy")
{
  CHECK_FALSE(Choose({ kA }, { kA, kB }, { { kA, ShardReport() } }).mReady);
  const auto choice = Choose(
    { kA }, { kA, kB }, { { kA, ShardReport() }, { kB, ShardReport() } });
  CHECK(choice.mReady);
  CHECK_FALSE(choice.mSource.IsSet());
  CHECK_FALSE(choice.mMayMissCommits);
}

TEST_CASE("ReportsASetWhoseMembersAllLeft")
{
  ShardReport witness;
  witness.mVanished =
    PastSet{ .mEpoch = EpochNumber(2), .mMembers = { kD, kE } };
  const auto choice = Choose({ kA }, { kA }, { { kA, witness } });
  CHECK(choice.mReady);
  CHECK(choice.mMayMissCommits);
}

TEST_CASE("PrimaryPlusOneNeedsThePrimaryOrAllOthers")
{
  const CommitRule rule = CommitRule::kPrimaryPlusOne;
  const std::vector<MemberId> set{ kA, kB, kC };
  const ShardReport copy = Holds(3, 9, set);
  CHECK_FALSE(Choose({ kB }, { kA, kB, kC }, { { kB, copy } }, rule).mReady);
  CHECK(
    Choose({ kB }, { kB, kC }, { { kB, copy }, { kC, copy } }, rule).mReady);
  const auto alone = Choose({ kB }, { kB }, { { kB, copy } }, rule);
  CHECK(alone.mReady);
  CHECK(alone.mMayMissCommits);
}

} // namespace peridotspool::ledger
