// ctest-labels: unit
#include "peridotspool/routing/QuarantineManager.h"

#include <catch2/catch.hpp>

namespace peridotspool::routing {

namespace {

const ContentId kContent{ .mHigh = 7, .mLow = 7 };
const Address kEntry{ "10.0.0.1", 1 };
const Address kOther{ "10.0.0.2", 1 };

TimePoint
At(int aMs)
{
  return TimePoint(std::chrono::seconds(5000) + std::chrono::milliseconds(aMs));
}

/** A leader with its committed table. */
struct Leader
{
  QuarantineTable mTable;
  QuarantineManager mManager;

  /** Its report comes the moment in which the answer is lost. */
  void Crash(const std::string& aUpstream,
             int aSentMs,
             int aLostMs,
             bool aHadPermit = false,
             const Address& aFrom = kEntry)
  {
    const auto ago = static_cast<std::uint32_t>(aLostMs - aSentMs);
    mManager.HandleReport(aFrom,
                          { .mNumber = 1,
                            .mLines = { { .mContent = kContent,
                                          .mUpstream = UpstreamName(aUpstream),
                                          .mSentAgoMs = ago,
                                          .mLostAgoMs = 0,
                                          .mHadPermit = aHadPermit } } },
                          mTable,
                          At(aLostMs));
  }
  void Commit(int aMs)
  {
    for (const QuarantineChange& change :
         mManager.PendingChanges(mTable, At(aMs))) {
      mTable.Apply(change);
    }
  }
  QuarantineStage Stage() const
  {
    const QuarantineRow* row = mTable.Find(kContent);
    return row == nullptr ? QuarantineStage::kCleared : row->mChange.mStage;
  }
  bool Grants(std::uint64_t aTag, int aMs, const Address& aFrom = kEntry)
  {
    return mManager
      .HandlePermitRequest(
        aFrom,
        PermitRequest{ .mContent = kContent, .mTag = aTag, .mForMs = 4000 },
        mTable,
        At(aMs))
      .mGranted;
  }
};

} // namespace

TEST_CASE("OneEndSaysNothingOfAContent")
{
  Leader leader;
  leader.Crash("u1", 0, 100);
  leader.Commit(100);
  CHECK(leader.mTable.mNumber == 1);
}

TEST_CASE("ThreeEndsInARowRefuseAContent")
{
  Leader leader;
  leader.Crash("u1", 0, 100);
  leader.Crash("u2", 500, 600);
  leader.Commit(600);
  CHECK(leader.Stage() == QuarantineStage::kOneAtATime);
  leader.Crash("u3", 1000, 1100, true, kOther);
  leader.Commit(1100);
  REQUIRE(leader.Stage() == QuarantineStage::kRefused);
  const auto& crashes = leader.mTable.Find(kContent)->mChange.mCrashes;
  REQUIRE(crashes.size() == 3);
  CHECK(crashes[2].mUpstream == UpstreamName("u3"));
  CHECK(crashes[2].mSeenBy == ToText(kOther));
  CHECK_FALSE(leader.Grants(1, 1200));
}

// A content that many ask for runs on many upstreams at once; that half of them
// end at the same moment says nothing of it.
TEST_CASE("EndsOfCopiesThatRanAtOnceCountAsOne")
{
  Leader leader;
  for (int i = 0; i < 10; ++i) {
    leader.Crash("u" + std::to_string(i), 10 * i, 500 + 20 * i);
  }
  leader.Commit(700);
  CHECK(leader.Stage() == QuarantineStage::kOneAtATime);
}

TEST_CASE("WithoutAnEndOfTheOnlyRunAContentIsNotRefused")
{
  Leader leader;
  for (int i = 0; i < 6; ++i) {
    leader.Crash("u" + std::to_string(i), 500 * i, 500 * i + 100);
    leader.Commit(500 * i + 100);
  }
  CHECK(leader.Stage() == QuarantineStage::kOneAtATime);
}

TEST_CASE("AnAnswerClearsTheEndsBeforeIt")
{
  Leader leader;
  leader.Crash("u1", 0, 100);
  leader.Crash("u2", 500, 600);
  leader.Commit(600);
  SECTION("all of them, where it is the last")
  {
    leader.mManager.HandleRunEnded(
      kEntry, RunEnded{ kContent, 0, true, 10 }, At(700));
    leader.Commit(700);
    CHECK(leader.Stage() == QuarantineStage::kCleared);
  }
  SECTION("not the one after it")
  {
    leader.Crash("u3", 1000, 1100);
    leader.mManager.HandleRunEnded(
      kEntry, RunEnded{ kContent, 0, true, 900 }, At(1200));
    leader.Commit(1200);
    CHECK(leader.Stage() == QuarantineStage::kOneAtATime);
  }
}

TEST_CASE("OneLifeCountsOnceForAContent")
{
  Leader leader;
  leader.Crash("u1", 0, 100);
  leader.Crash("u1", 500, 600, false, kOther);
  leader.Crash("u1", 1000, 1100);
  leader.Commit(1100);
  CHECK(leader.Stage() == QuarantineStage::kCleared);
}

TEST_CASE("AtMostTwoMoreRunsFollowThreeEndsAtOnce")
{
  Leader leader;
  leader.Crash("u1", 0, 300);
  leader.Crash("u2", 10, 310);
  leader.Crash("u3", 20, 320);
  leader.Commit(320);
  int runs = 0;
  for (int at = 400; at < 20000; at += 400) {
    if (leader.Grants(static_cast<std::uint64_t>(at), at)) {
      ++runs;
      leader.Crash("v" + std::to_string(at), at, at + 100, true);
    }
    leader.Commit(at + 100);
  }
  CHECK(runs == 2);
  CHECK(leader.Stage() == QuarantineStage::kRefused);
}

// Symptom: a content ended one upstream after the other for as long as it came,
// each time with its turn, and was never refused.
// Sequence: twenty copies of it had ended as many upstreams at once.
// Cause: these filled what is kept of one content, and the ends of the only
// copy that ran, which tell, found no room.
TEST_CASE("ManyEndsAtOnceLeaveRoomForThoseThatTell")
{
  Leader leader;
  for (int i = 0; i < 20; ++i) {
    leader.Crash("u" + std::to_string(i), i, 300 + i);
  }
  leader.Commit(320);
  for (const int at : { 1000, 2000 }) {
    REQUIRE(leader.Grants(static_cast<std::uint64_t>(at), at));
    leader.Crash("v" + std::to_string(at), at, at + 100, true);
    leader.Commit(at + 100);
  }
  CHECK(leader.Stage() == QuarantineStage::kRefused);
}

TEST_CASE("ASlowedContentHasOneTurnAtATime")
{
  Leader leader;
  leader.Crash("u1", 0, 100);
  leader.Crash("u2", 500, 600);
  leader.Commit(600);
  CHECK(leader.Grants(1, 700));
  CHECK(leader.Grants(1, 710));
  CHECK_FALSE(leader.Grants(2, 720));
  CHECK_FALSE(leader.Grants(1, 720, kOther));
  SECTION("until its request is over")
  {
    leader.mManager.HandleRunEnded(
      kEntry, RunEnded{ kContent, 1, false }, At(730));
    CHECK(leader.Grants(2, 740));
  }
  SECTION("until its entry can't have it any more")
  {
    CHECK_FALSE(leader.Grants(2, 4700));
    CHECK(leader.Grants(2, 4711));
  }
}

TEST_CASE("OneCompleteAnswerClearsAContent")
{
  Leader leader;
  leader.Crash("u1", 0, 100);
  leader.Crash("u2", 500, 600);
  leader.Commit(600);
  REQUIRE(leader.Grants(1, 700));
  leader.mManager.HandleRunEnded(
    kEntry, RunEnded{ kContent, 1, true }, At(800));
  CHECK(leader.Grants(2, 800));
  CHECK(leader.Grants(3, 800));
  leader.Commit(800);
  CHECK(leader.Stage() == QuarantineStage::kCleared);
  leader.Commit(900);
  leader.Crash("u3", 1000, 1100);
  leader.Commit(1100);
  CHECK(leader.Stage() == QuarantineStage::kCleared);
  leader.Crash("u4", 1500, 1600);
  leader.Commit(1600);
  CHECK(leader.Stage() == QuarantineStage::kOneAtATime);
}

// Symptom: a content stayed slowed for good.
// Sequence: it was answered while the leader's own change to slow it was not
// committed yet, and so nobody had to clear it any more.
// Cause: what is to be committed was compared with what was, not with what is
// under way.
TEST_CASE("AnAnswerBeforeTheSlowingIsCommittedClearsItAfterwards")
{
  Leader leader;
  leader.Crash("u1", 0, 100);
  leader.Crash("u2", 500, 600);
  const auto uncommitted =
    leader.mManager.PendingChanges(leader.mTable, At(600));
  REQUIRE(uncommitted.size() == 1);
  leader.mManager.HandleRunEnded(
    kEntry, RunEnded{ kContent, 0, true }, At(610));
  leader.Commit(650);
  leader.mTable.Apply(uncommitted[0]);
  for (int at = 700; at < 3000; at += 100) {
    leader.Commit(at);
  }
  CHECK(leader.Stage() == QuarantineStage::kCleared);
}

TEST_CASE("ANewLeaderGoesOnWithWhatIsCommitted")
{
  Leader leader;
  leader.Crash("u1", 0, 100);
  leader.Crash("u2", 500, 600);
  leader.Commit(600);
  leader.mManager = QuarantineManager(leader.mTable, At(700));
  SECTION("ends that it hears of again count once")
  {
    leader.Crash("u1", 0, 100);
    leader.Crash("u2", 500, 600);
    leader.Commit(800);
    CHECK(leader.Stage() == QuarantineStage::kOneAtATime);
  }
  SECTION("the third end refuses the content")
  {
    REQUIRE(leader.Grants(1, 800));
    leader.Crash("u3", 800, 900, true);
    leader.Commit(900);
    CHECK(leader.Stage() == QuarantineStage::kRefused);
  }
}

TEST_CASE("AChangeIsProposedAgainUntilItIsCommitted")
{
  Leader leader;
  leader.Crash("u1", 0, 100);
  leader.Crash("u2", 500, 600);
  CHECK(leader.mManager.PendingChanges(leader.mTable, At(600)).size() == 1);
  CHECK(leader.mManager.PendingChanges(leader.mTable, At(700)).empty());
  CHECK(leader.mManager.PendingChanges(leader.mTable, At(1600)).size() == 1);
}

TEST_CASE("WhatAnOperatorLiftsNeedsThreeMoreEnds")
{
  Leader leader;
  for (int i = 0; i < 3; ++i) {
    leader.Crash("u" + std::to_string(i), 500 * i, 500 * i + 100, i == 2);
  }
  leader.Commit(1100);
  REQUIRE(leader.Stage() == QuarantineStage::kRefused);
  leader.mTable.Apply({ .mContent = kContent });
  leader.Commit(2000);
  leader.Crash("u1", 500, 600);
  leader.Crash("u9", 2500, 2600);
  leader.Commit(2700);
  CHECK(leader.Stage() == QuarantineStage::kCleared);
}

TEST_CASE("AContentIsHeldForAsLongAsItComesAgain")
{
  constexpr int kHour = 3600000;
  Leader leader;
  for (int i = 0; i < 3; ++i) {
    leader.Crash("u" + std::to_string(i), 500 * i, 500 * i + 100, i == 2);
  }
  leader.Commit(1100);
  for (int at = 0; at < 3 * kHour; at += kHour / 4) {
    leader.mManager.RecordResubmission(kContent, At(at));
    leader.Commit(at);
    CHECK(leader.Stage() == QuarantineStage::kRefused);
  }
  for (int at = 3 * kHour; at < 5 * kHour; at += kHour / 4) {
    leader.Commit(at);
  }
  CHECK(leader.Stage() == QuarantineStage::kCleared);
}

TEST_CASE("SuspectsAreBoundedAndThoseOfOneEndGoFirst")
{
  Leader leader;
  leader.Crash("u1", 0, 100);
  leader.Crash("u2", 500, 600);
  leader.Commit(600);
  for (std::uint64_t content = 100; content < 30000; ++content) {
    leader.mManager.HandleReport(
      kEntry,
      { .mNumber = content,
        .mLines = { { .mContent = { .mLow = content },
                      .mUpstream = UpstreamName("u5") } } },
      leader.mTable,
      At(700 + static_cast<int>(content)));
  }
  CHECK(leader.mManager.Size() <= 4096);
  leader.Commit(40000);
  CHECK(leader.Stage() == QuarantineStage::kOneAtATime);
  leader.Crash("u3", 50000, 50100, true);
  leader.Commit(50100);
  CHECK(leader.Stage() == QuarantineStage::kRefused);
}

} // namespace peridotspool::routing
