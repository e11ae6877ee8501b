// ctest-labels: unit
#include "peridotspool/routing/PromptPartSuspects.h"

#include <catch2/catch.hpp>

#include <string>

namespace peridotspool::routing {

namespace {

const PromptPartId kPart(7);
const PromptPartId kBeside(8);
const Address kEntry{ "10.0.0.1", 1 };
const CustomerName kCustomer("c");
const CustomerName kOther("d");

TimePoint
At(int aMs)
{
  return TimePoint(std::chrono::seconds(5000) + std::chrono::milliseconds(aMs));
}

/** A leader with its committed table. */
struct Leader
{
  QuarantineTable mTable;
  PromptPartSuspects mSuspects;

  /** A run of 100 ms crashes its upstream. */
  void Crash(int aUpstream,
             int aLostMs,
             const std::vector<PromptPartId>& aParts = { kPart },
             const CustomerName& aCustomer = kCustomer,
             bool aHadPermit = false)
  {
    mSuspects.HandleCrash(
      kEntry,
      { .mUpstream = UpstreamName("u" + std::to_string(aUpstream)),
        .mSentAgeMs = 100,
        .mHadPermit = aHadPermit,
        .mParts = aParts,
        .mCustomer = aCustomer },
      At(aLostMs));
  }
  void Commit(int aMs)
  {
    for (const QuarantineChange& change :
         mSuspects.PendingChanges(mTable, At(aMs))) {
      mTable.Apply(change);
    }
  }
  /** Commits as often as a leader does. */
  void CommitUntil(int aFromMs, int aUntilMs)
  {
    for (int now = aFromMs; now <= aUntilMs; now += 100) {
      Commit(now);
    }
  }
  /** Three crashes, a second apart, until 3 s. */
  void CrashThrice(const std::vector<PromptPartId>& aParts = { kPart })
  {
    for (int number = 1; number <= 3; ++number) {
      Crash(number, 1000 * number, aParts);
      CommitUntil(1000 * number, 1000 * number + 900);
    }
  }
  QuarantineStage Stage(PromptPartId aPart = kPart,
                        const CustomerName& aCustomer = kCustomer) const
  {
    const QuarantineRow* row = mTable.Find(ContentOf(aPart));
    return row == nullptr ? QuarantineStage::kCleared
                          : StatusOf(row->mChange).StageFor(aCustomer);
  }
  void Answered(PromptPartId aPart,
                int aMs,
                const CustomerName& aCustomer = kCustomer,
                std::uint32_t aAgeMs = 0)
  {
    mSuspects.HandleRunEnded(kEntry,
                             { .mContents = { ContentOf(aPart) },
                               .mAnswered = true,
                               .mAgeMs = aAgeMs,
                               .mCustomer = aCustomer },
                             At(aMs));
  }
  PermitVerdict Ask(std::uint64_t aTag,
                    int aMs,
                    const std::vector<PromptPartId>& aParts = { kPart },
                    const CustomerName& aCustomer = kCustomer)
  {
    PermitRequest request{ .mTag = aTag,
                           .mForMs = 4000,
                           .mCustomer = aCustomer };
    for (const PromptPartId part : aParts) {
      request.mContents.push_back(ContentOf(part));
    }
    const PermitVerdict verdict =
      mSuspects.CheckPermit(kEntry, request, mTable, At(aMs));
    if (verdict == PermitVerdict::kGranted) {
      mSuspects.Grant(kEntry, request, At(aMs));
    }
    return verdict;
  }
  void Restart(int aMs) { mSuspects = PromptPartSuspects(mTable, At(aMs)); }
};

} // namespace

TEST_CASE("PartIsWatchedAfterItsFirstCrashAndClearedByAnAnswer")
{
  Leader leader;
  leader.Crash(1, 1000);
  leader.Commit(1000);
  CHECK(leader.Stage() == QuarantineStage::kWatched);
  leader.Answered(kPart, 1300);
  leader.Commit(1300);
  CHECK(leader.Stage() == QuarantineStage::kCleared);
}

TEST_CASE("PartThatNothingElseExplainsIsRefusedAfterThreeCrashes")
{
  Leader leader;
  leader.CrashThrice();
  CHECK(leader.Stage() == QuarantineStage::kRefused);
  CHECK(leader.Ask(1, 4000) == PermitVerdict::kRefused);
}

TEST_CASE("PartOfSoundRequestsIsReleasedByItsAnswer")
{
  Leader leader;
  leader.CrashThrice({ kBeside, kPart });
  CHECK(leader.Stage(kPart) == QuarantineStage::kOneAtATime);
  CHECK(leader.Stage(kBeside) == QuarantineStage::kOneAtATime);
  CHECK(leader.Ask(1, 4000, { kBeside, kPart }) == PermitVerdict::kDenied);
  CHECK(leader.Ask(2, 4000, { kBeside }) == PermitVerdict::kGranted);
  leader.Answered(kBeside, 4500);
  leader.Commit(4500);
  CHECK(leader.Stage(kBeside) == QuarantineStage::kCleared);
  CHECK(leader.Stage(kPart) == QuarantineStage::kRefused);
}

TEST_CASE("AnswerThatAnEntryRemembersTellsThePartFromAnother")
{
  Leader leader;
  leader.Crash(1, 1000, { kBeside, kPart });
  leader.Commit(1000);
  leader.Answered(kBeside, 1100, {}, 5000);
  leader.CommitUntil(1100, 1900);
  leader.Crash(2, 2000, { kBeside, kPart });
  leader.CommitUntil(2000, 2900);
  leader.Crash(3, 3000, { kBeside, kPart });
  leader.CommitUntil(3000, 3900);
  CHECK(leader.Stage(kPart) == QuarantineStage::kRefused);
  CHECK(leader.Stage(kBeside) == QuarantineStage::kWatched);
}

// Guards against a customer that names another customer's part in requests that
// crash upstreams.
TEST_CASE("PartIsRefusedForTheCustomerWhoseRequestsCrashUpstreams")
{
  Leader leader;
  leader.CrashThrice();
  CHECK(leader.Stage(kPart, kOther) == QuarantineStage::kOneAtATime);
  CHECK(leader.Ask(1, 5000, { kPart }, kOther) == PermitVerdict::kDenied);
  leader.Commit(5100);
  CHECK(leader.Ask(1, 5100, { kPart }, kOther) == PermitVerdict::kGranted);
  SECTION("and runs for others when it is answered for one")
  {
    leader.Answered(kPart, 5500, kOther);
    leader.Commit(5500);
    CHECK(leader.Stage(kPart, kOther) == QuarantineStage::kWatched);
    CHECK(leader.Stage(kPart, kCustomer) == QuarantineStage::kRefused);
  }
  SECTION("and is refused for all when it crashes another upstream")
  {
    leader.Crash(4, 5500, { kPart }, kOther, true);
    leader.Commit(5500);
    CHECK(leader.Stage(kPart, kOther) == QuarantineStage::kRefused);
    CHECK(leader.Stage(kPart, CustomerName("e")) == QuarantineStage::kRefused);
  }
}

TEST_CASE("RequestsOfOthersAreSentTwiceAtMostWithoutAnAnswer")
{
  Leader leader;
  leader.CrashThrice();
  int granted = 0;
  for (std::uint64_t tag = 1; tag <= 400; ++tag) {
    const int now = 5000 + static_cast<int>(tag) * 100;
    leader.Commit(now);
    const bool isGranted =
      leader.Ask(tag, now, { kPart }, kOther) == PermitVerdict::kGranted;
    granted += isGranted ? 1 : 0;
    if (isGranted) {
      leader.mSuspects.HandleRunEnded(
        kEntry,
        { .mContents = { ContentOf(kPart) }, .mTag = tag, .mCustomer = kOther },
        At(now));
    }
    if (tag == 200) {
      leader.Restart(now);
    }
  }
  CHECK(granted >= 2);
  CHECK(granted <= 3);
}

TEST_CASE("VerdictSurvivesAChangeOfTheLeader")
{
  Leader leader;
  SECTION("refused")
  {
    leader.CrashThrice();
    leader.Restart(4000);
    leader.CommitUntil(4000, 5000);
    CHECK(leader.Stage() == QuarantineStage::kRefused);
    CHECK(leader.Ask(1, 5000) == PermitVerdict::kRefused);
  }
  SECTION("crashes so far")
  {
    leader.Crash(1, 1000);
    leader.Commit(1000);
    leader.Crash(2, 2000);
    leader.Commit(2000);
    leader.Restart(2500);
    leader.Crash(3, 4000);
    leader.Commit(4000);
    CHECK(leader.Stage() == QuarantineStage::kRefused);
  }
}

TEST_CASE("OperatorCanLiftARefusal")
{
  Leader leader;
  leader.CrashThrice();
  leader.mTable.Apply({ .mContent = ContentOf(kPart) });
  leader.CommitUntil(4000, 4500);
  CHECK(leader.Stage() == QuarantineStage::kCleared);
  leader.Crash(4, 5000);
  leader.Commit(5000);
  CHECK(leader.Stage() == QuarantineStage::kWatched);
}

// Guards against a report that arrives after the part was cleared and names a
// crash from before.
TEST_CASE("LateReportOfAClearedCrashIsNoEvidence")
{
  Leader leader;
  leader.Crash(1, 1000);
  leader.Commit(1000);
  leader.Answered(kPart, 1300);
  leader.Commit(1300);
  leader.mSuspects.HandleCrash(kEntry,
                               { .mUpstream = UpstreamName("u2"),
                                 .mSentAgeMs = 2000,
                                 .mLostAgeMs = 1900,
                                 .mParts = { kPart } },
                               At(3000));
  leader.Commit(3000);
  CHECK(leader.Stage() == QuarantineStage::kCleared);
}

TEST_CASE("StateIsBoundedHoweverManyPartsCrash")
{
  Leader leader;
  leader.CrashThrice();
  for (int prompt = 0; prompt < 40; ++prompt) {
    std::vector<PromptPartId> parts;
    for (int i = 0; i < 1000; ++i) {
      parts.emplace_back(static_cast<std::uint64_t>(1000 * prompt + i + 100));
    }
    leader.Crash(10 + prompt, 5000 + prompt, parts);
    leader.Commit(5000 + prompt);
  }
  leader.CommitUntil(6000, 9000);
  CHECK(leader.mSuspects.PendingChanges(leader.mTable, At(9100)).empty());
  CHECK(leader.mSuspects.Size() <= 8192);
  CHECK(leader.mTable.mRows.size() <= 512);
  CHECK(leader.Stage() == QuarantineStage::kRefused);
}

} // namespace peridotspool::routing
