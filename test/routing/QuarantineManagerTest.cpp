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

  /** Reports a crash at the moment when the response is lost. */
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
                                          .mSentAgeMs = ago,
                                          .mLostAgeMs = 0,
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
             .HandlePermitRequest(aFrom,
                                  PermitRequest{ .mContents = { kContent },
                                                 .mTag = aTag,
                                                 .mForMs = 4000 },
                                  mTable,
                                  At(aMs))
             .mVerdict == PermitVerdict::kGranted;
  }
};

} // namespace

TEST_CASE("SingleCrashIsNoEvidence")
{
  Leader leader;
  leader.Crash("u1", 0, 100);
  leader.Commit(100);
  CHECK(leader.mTable.mNumber == 1);
}

TEST_CASE("ThreeConsecutiveCrashesRefuseAContent")
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

// A popular content runs on many upstreams at once. When half of them crash at
// the same moment, this is no evidence against it.
TEST_CASE("CrashesOfConcurrentCopiesCountAsOne")
{
  Leader leader;
  for (int i = 0; i < 10; ++i) {
    leader.Crash("u" + std::to_string(i), 10 * i, 500 + 20 * i);
  }
  leader.Commit(700);
  CHECK(leader.Stage() == QuarantineStage::kOneAtATime);
}

TEST_CASE("ContentIsNotRefusedWithoutACrashUnderAPermit")
{
  Leader leader;
  for (int i = 0; i < 6; ++i) {
    leader.Crash("u" + std::to_string(i), 500 * i, 500 * i + 100);
    leader.Commit(500 * i + 100);
  }
  CHECK(leader.Stage() == QuarantineStage::kOneAtATime);
}

TEST_CASE("CompleteAnswerClearsEarlierCrashes")
{
  Leader leader;
  leader.Crash("u1", 0, 100);
  leader.Crash("u2", 500, 600);
  leader.Commit(600);
  SECTION("all of them, if it is the last event")
  {
    leader.mManager.HandleRunEnded(
      kEntry, RunEnded{ { kContent }, 0, true, 10 }, At(700));
    leader.Commit(700);
    CHECK(leader.Stage() == QuarantineStage::kCleared);
  }
  SECTION("but not a later one")
  {
    leader.Crash("u3", 1000, 1100);
    leader.mManager.HandleRunEnded(
      kEntry, RunEnded{ { kContent }, 0, true, 900 }, At(1200));
    leader.Commit(1200);
    CHECK(leader.Stage() == QuarantineStage::kOneAtATime);
  }
}

TEST_CASE("IncarnationCountsOnceForAContent")
{
  Leader leader;
  leader.Crash("u1", 0, 100);
  leader.Crash("u1", 500, 600, false, kOther);
  leader.Crash("u1", 1000, 1100);
  leader.Commit(1100);
  CHECK(leader.Stage() == QuarantineStage::kCleared);
}

TEST_CASE("AtMostTwoMoreRunsFollowThreeConcurrentCrashes")
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

// Guards against never refusing a content that crashes one upstream after the
// other, each time with a permit. It happens if the crashes of twenty
// concurrent copies fill the bounded list, so that the crashes of runs with a
// permit, which are the evidence, are not recorded.
TEST_CASE("ManyConcurrentCrashesLeaveRoomForThoseWithAPermit")
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

TEST_CASE("OneAtATimeContentHasOnePermit")
{
  Leader leader;
  leader.Crash("u1", 0, 100);
  leader.Crash("u2", 500, 600);
  leader.Commit(600);
  CHECK(leader.Grants(1, 700));
  CHECK(leader.Grants(1, 710));
  CHECK_FALSE(leader.Grants(2, 720));
  CHECK_FALSE(leader.Grants(1, 720, kOther));
  SECTION("until its request has ended")
  {
    leader.mManager.HandleRunEnded(
      kEntry, RunEnded{ { kContent }, 1, false }, At(730));
    CHECK(leader.Grants(2, 740));
  }
  SECTION("until the permit expires")
  {
    CHECK_FALSE(leader.Grants(2, 4700));
    CHECK(leader.Grants(2, 4711));
  }
}

TEST_CASE("CompleteAnswerClearsAContent")
{
  Leader leader;
  leader.Crash("u1", 0, 100);
  leader.Crash("u2", 500, 600);
  leader.Commit(600);
  REQUIRE(leader.Grants(1, 700));
  leader.mManager.HandleRunEnded(
    kEntry, RunEnded{ { kContent }, 1, true }, At(800));
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

// Guards against a content that runs one at a time for good. It happens if an
// answer arrives while the leader's own change to that stage is not committed
// yet, and the wanted stage is compared with the committed one only, so that no
// change is proposed any more.
TEST_CASE("AnswerBeforeTheStageIsCommittedClearsItAfterwards")
{
  Leader leader;
  leader.Crash("u1", 0, 100);
  leader.Crash("u2", 500, 600);
  const auto uncommitted =
    leader.mManager.PendingChanges(leader.mTable, At(600));
  REQUIRE(uncommitted.size() == 1);
  leader.mManager.HandleRunEnded(
    kEntry, RunEnded{ { kContent }, 0, true }, At(610));
  leader.Commit(650);
  leader.mTable.Apply(uncommitted[0]);
  for (int at = 700; at < 3000; at += 100) {
    leader.Commit(at);
  }
  CHECK(leader.Stage() == QuarantineStage::kCleared);
}

TEST_CASE("NewLeaderContinuesFromTheCommittedTable")
{
  Leader leader;
  leader.Crash("u1", 0, 100);
  leader.Crash("u2", 500, 600);
  leader.Commit(600);
  leader.mManager = QuarantineManager(leader.mTable, At(700));
  SECTION("crashes that are reported again count once")
  {
    leader.Crash("u1", 0, 100);
    leader.Crash("u2", 500, 600);
    leader.Commit(800);
    CHECK(leader.Stage() == QuarantineStage::kOneAtATime);
  }
  SECTION("the third crash refuses the content")
  {
    REQUIRE(leader.Grants(1, 800));
    leader.Crash("u3", 800, 900, true);
    leader.Commit(900);
    CHECK(leader.Stage() == QuarantineStage::kRefused);
  }
}

TEST_CASE("ChangeIsProposedAgainUntilItIsCommitted")
{
  Leader leader;
  leader.Crash("u1", 0, 100);
  leader.Crash("u2", 500, 600);
  CHECK(leader.mManager.PendingChanges(leader.mTable, At(600)).size() == 1);
  CHECK(leader.mManager.PendingChanges(leader.mTable, At(700)).empty());
  CHECK(leader.mManager.PendingChanges(leader.mTable, At(1600)).size() == 1);
}

TEST_CASE("LiftedContentNeedsThreeMoreCrashes")
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

TEST_CASE("ContentIsRefusedForAsLongAsItIsResubmitted")
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

TEST_CASE("SuspectsAreBoundedAndThoseOfOneCrashAreEvictedFirst")
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
