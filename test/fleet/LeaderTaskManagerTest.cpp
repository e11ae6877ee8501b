// ctest-labels: promise-fencing
#include "peridotspool/fleet/LeaderTaskManager.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <optional>

namespace peridotspool::fleet {

namespace {

const CustomerName kCustomer("c");

TimePoint
At(int aMs)
{
  return TimePoint(std::chrono::milliseconds(aMs));
}

gateway::UsageReport
Report(std::uint64_t aLife,
       std::uint64_t aWindow,
       std::uint64_t aCount,
       int aMs)
{
  return { .mEntryIncarnation = aLife,
           .mWallMicros = std::int64_t{ aMs } * 1000,
           .mWindows = {
             { .mNumber = aWindow, .mCounts = { { kCustomer, aCount } } } } };
}

/** The leader tasks of one replica, with the log that all replicas share. */
struct Replica
{
  LeaderTaskManager mManager{ LeaderTaskOptions{} };
  std::vector<gateway::UsageWindow>& mLog;
  bool mLeads = false;
  std::uint64_t mTerm = 0;
  std::vector<SendCloudCall> mCalls;
  std::vector<std::uint64_t> mCancelled;

  explicit Replica(std::vector<gateway::UsageWindow>& aLog)
    : mLog(aLog)
  {
  }

  void Tick(int aMs)
  {
    const LeaderTaskView view{ .mLeads = mLeads,
                               .mTerm = mTerm,
                               .mCommitted = &mLog };
    for (const LeaderTaskEffect& effect : mManager.Tick(view, At(aMs))) {
      if (const auto* commit = std::get_if<CommitUsage>(&effect)) {
        mLog.push_back(commit->mWindow);
      } else if (const auto* call = std::get_if<SendCloudCall>(&effect)) {
        mCalls.push_back(*call);
      } else {
        mCancelled.push_back(std::get<CancelCloudCall>(effect).mNumber);
      }
    }
  }
};

} // namespace

// Guards against two reports of one window with different counts: the leader
// reports to the cloud and dies, and the next one sums up the entries' reports
// again, including later ones. This happens if only the leader stores what was
// reported.
TEST_CASE("TheNextLeaderReportsCommittedUsageUnchanged")
{
  std::vector<gateway::UsageWindow> log;
  Replica first(log);
  Replica second(log);
  first.mLeads = true;
  first.mTerm = 1;
  first.mManager.RecordReport(Report(1, 1, 10, 100), At(100));
  for (int ms = 0; ms < 12000; ms += 100) {
    first.mManager.RecordReport(Report(1, 1, 10, ms), At(ms));
    first.Tick(ms);
  }
  REQUIRE(first.mCalls.size() >= 1);
  first.mLeads = false;
  second.mLeads = true;
  second.mTerm = 2;
  for (int ms = 12000; ms < 15000; ms += 100) {
    second.mManager.RecordReport(Report(1, 1, 11, ms), At(ms));
    second.Tick(ms);
  }
  REQUIRE(second.mCalls.size() >= 1);
  CHECK(second.mCalls[0].mCall == first.mCalls[0].mCall);
  CHECK(second.mCalls[0].mFence > first.mCalls[0].mFence);
}

// Guards against a window whose usage lacks the requests of an ended entry,
// which was a third of the total: an entry reports and is killed, then the
// leader is killed, and the next leader sums up only the reports of live
// entries. This happens if entries report to the leader alone.
TEST_CASE("TheNextLeaderCountsUsageOfEntriesThatHaveEnded")
{
  std::vector<gateway::UsageWindow> log;
  Replica next(log);
  // Received while another replica was the leader.
  next.mManager.RecordReport(Report(1, 1, 10, 6000), At(6000));
  next.mManager.RecordReport(Report(2, 1, 5, 6000), At(6000));
  next.mLeads = true;
  next.mTerm = 2;
  for (int ms = 7000; ms < 16000; ms += 100) {
    next.mManager.RecordReport(Report(2, 1, 7, ms), At(ms));
    next.Tick(ms);
  }
  REQUIRE(log.size() == 1);
  CHECK(log[0].mCounts.at(kCustomer) == 17);
}

// Guards against two leaders that act alternately within one lease: leadership
// moves from one replica to another and back at once, and a new leader acts as
// soon as it is elected.
TEST_CASE("LeadersNeverActAlternatelyWithinALease")
{
  rc::prop("A, B, A", [] {
    std::vector<gateway::UsageWindow> log;
    std::vector<Replica> replicas(3, Replica(log));
    std::vector<std::pair<int, std::size_t>> acts;
    std::optional<std::size_t> leader;
    std::uint64_t term = 0;
    int changeAt = 0;
    for (int ms = 0; ms < 60000; ms += 100) {
      if (ms >= changeAt) {
        if (leader) {
          replicas[*leader].mLeads = false;
        }
        leader = *rc::gen::inRange<std::size_t>(0, replicas.size());
        replicas[*leader].mLeads = true;
        replicas[*leader].mTerm = ++term;
        changeAt = ms + *rc::gen::inRange(200, 5000);
      }
      const auto window = static_cast<std::uint64_t>(ms / 5000);
      Replica& one = replicas[*leader];
      one.mManager.RecordReport(Report(1, window, 1, ms), At(ms));
      const std::size_t before = one.mCalls.size();
      one.Tick(ms);
      if (one.mCalls.size() > before) {
        acts.emplace_back(ms, *leader);
      }
    }
    for (std::size_t i = 0; i < acts.size(); ++i) {
      std::optional<std::size_t> other;
      for (std::size_t j = i + 1;
           j < acts.size() && acts[j].first - acts[i].first < 3000;
           ++j) {
        if (acts[j].second != acts[i].second) {
          other = j;
        }
        RC_ASSERT(!other || acts[j].second != acts[i].second);
      }
    }
  });
}

// Guards against calls of a former leader that arrive after those of the next
// one: a call that is held up on its way is left open when its sender stops
// leading.
TEST_CASE("CallsUnderWayAreCancelledWhenTheirSenderStopsLeading")
{
  std::vector<gateway::UsageWindow> log;
  Replica leader(log);
  leader.mLeads = true;
  leader.mTerm = 1;
  int ms = 0;
  for (; leader.mCalls.empty() && ms < 15000; ms += 100) {
    leader.mManager.RecordReport(Report(1, 1, 10, ms), At(ms));
    leader.Tick(ms);
  }
  REQUIRE(leader.mCalls.size() == 1);
  const std::uint64_t open = leader.mCalls[0].mNumber;
  CHECK(leader.mCancelled.empty());
  SECTION("its lease ends")
  {
    leader.mLeads = false;
  }
  SECTION("it leads again by another term")
  {
    leader.mTerm = 3;
  }
  leader.Tick(ms);
  INFO("expected the open call to be cancelled by the first tick afterwards");
  CHECK(leader.mCancelled == std::vector<std::uint64_t>{ open });
}

TEST_CASE("ACallWithoutAnAnswerIsCancelled")
{
  std::vector<gateway::UsageWindow> log;
  Replica leader(log);
  leader.mLeads = true;
  leader.mTerm = 1;
  for (int ms = 0; ms < 16000; ms += 100) {
    leader.mManager.RecordReport(Report(1, 1, 10, ms), At(ms));
    leader.Tick(ms);
  }
  REQUIRE(leader.mCalls.size() >= 2);
  REQUIRE_FALSE(leader.mCancelled.empty());
  CHECK(leader.mCancelled[0] == leader.mCalls[0].mNumber);
}

TEST_CASE("ACallIsRetriedUntilItSucceeds")
{
  std::vector<gateway::UsageWindow> log;
  Replica one(log);
  one.mLeads = true;
  one.mTerm = 4;
  int ms = 0;
  for (; ms < 14000; ms += 100) {
    one.mManager.RecordReport(Report(1, 1, 3, ms), At(ms));
    one.Tick(ms);
  }
  const std::size_t tries = one.mCalls.size();
  REQUIRE(tries >= 2);
  one.mManager.HandleResult(
    one.mCalls.back().mNumber, 200, Duration(0), At(ms));
  for (; ms < 19000; ms += 100) {
    one.Tick(ms);
  }
  CHECK(one.mCalls.size() == tries);
}

// Guards against calls that are repeated while the cloud has asked for rest.
TEST_CASE("NoCallIsMadeBeforeTheTimeThatTheCloudNames")
{
  std::vector<gateway::UsageWindow> log;
  Replica one(log);
  one.mLeads = true;
  one.mTerm = 4;
  int ms = 0;
  while (one.mCalls.empty() && ms < 20000) {
    one.mManager.RecordReport(Report(1, 1, 3, ms), At(ms));
    one.Tick(ms);
    ms += 100;
  }
  REQUIRE(one.mCalls.size() == 1);
  const int answeredAt = ms;
  one.mManager.HandleResult(
    one.mCalls.back().mNumber, 503, std::chrono::seconds(3), At(ms));
  for (; ms < answeredAt + 3000; ms += 100) {
    one.Tick(ms);
  }
  CHECK(one.mCalls.size() == 1);
  for (; ms < answeredAt + 5000; ms += 100) {
    one.Tick(ms);
  }
  CHECK(one.mCalls.size() > 1);
}

} // namespace peridotspool::fleet
