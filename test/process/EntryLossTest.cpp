// ctest-labels: promise-survives-reclaim promise-whole-own-answer
#include "http/Eventually.h"
#include "process/StreamCaller.h"
#include "process/TestSystem.h"

#include <catch2/catch.hpp>
#include <csignal>

namespace peridotspool::test {

namespace {

const std::string kPrompt = "placement fault on SMT-3, head 2, feeder 12";
/** Longer than every lease by far. */
constexpr std::chrono::seconds kLongFreeze{ 6 };

/** The process name of the entry that ran the request. */
std::string
ExecutorOf(const StreamCaller& aCaller)
{
  return "entryd-" + fakes::TextOf(aCaller.Path(), "entry").substr(6);
}

using Callers = std::vector<std::unique_ptr<StreamCaller>>;

const std::vector<std::string> kManySlots{ "--slots", "16" };

/** Makes callers whose requests are of many shards, so of many primaries. */
Callers
StartCallers(const std::string& aPrefix, std::uint64_t aTokens)
{
  constexpr int kCallers = 8;
  Callers callers;
  for (int i = 0; i < kCallers; ++i) {
    const std::string key = aPrefix + std::to_string(i);
    callers.push_back(
      std::make_unique<StreamCaller>(key, kPrompt + key, aTokens));
  }
  return callers;
}

void
WaitForBytes(const Callers& aCallers, std::size_t aBytes)
{
  for (const auto& caller : aCallers) {
    caller->WaitForBytes(aBytes);
  }
}

void
RequireWholeAnswers(const Callers& aCallers,
                    const std::vector<Address>& aEntries)
{
  for (const auto& caller : aCallers) {
    caller->FollowToEnd(aEntries);
    caller->RequireWholeAnswer();
  }
}

/** Sends requests through each entry, of many shards; all must be answered. */
void
RequireThatAllServe(TestSystem& aSystem, const std::string& aPrefix)
{
  constexpr int kRequests = 12;
  for (const std::string& name : EntryNames()) {
    for (int i = 0; i < kRequests; ++i) {
      const std::string key = aPrefix + name + "-" + std::to_string(i);
      StreamCaller caller(key, kPrompt + key, 2);
      caller.Connect(aSystem.Entry(name));
      caller.FollowToEnd({ aSystem.Entry(name) });
      caller.RequireWholeAnswer();
    }
  }
}

/** Waits until each entry names all four to callers. */
void
WaitUntilAllAreMembers(TestSystem& aSystem)
{
  REQUIRE(Eventually(
    [&] {
      return std::all_of(
        EntryNames().begin(), EntryNames().end(), [&](const auto& aName) {
          return aSystem.DirectoryOf(aName).size() == EntryNames().size();
        });
    },
    std::chrono::seconds(30)));
}

} // namespace

TEST_CASE("EntryKilledMidStreamLosesNothing")
{
  // Symptom: a technician must retype a long fault log.
  // Sequence: an entry takes requests, streams a part of each answer and is
  // killed without notice; the callers attach at others.
  // Cause: the accepted request, or what was answered, lived on one machine.
  TestSystem system;
  system.Start();
  system.StartEngine("engine-1", kManySlots);
  system.StartEngine("engine-2", kManySlots);
  const std::string first =
    GENERATE(std::string("entryd-piraeus-a"), std::string("entryd-elefsina"));
  const Callers callers = StartCallers("killed-entry-", 100);
  for (const auto& caller : callers) {
    caller->Connect(system.Entry(first));
  }
  WaitForBytes(callers, 200);
  system.Process(first).Kill();
  RequireWholeAnswers(callers, system.EntriesBut({ first }));
}

TEST_CASE("SecondEntryKilledRightAfterTheRepairLosesNothing")
{
  // Symptom: the second loss, right after a repair, takes requests along.
  // Sequence: an entry is killed; as soon as others have taken over and every
  // answer goes on, another one is killed.
  // Cause: the repair did not bring the records back to full strength.
  TestSystem system;
  system.Start();
  system.StartEngine("engine-1", kManySlots);
  const std::string first = EntryNames()[0];
  const std::string second = EntryNames()[1];
  const Callers callers = StartCallers("killed-twice-", 400);
  for (const auto& caller : callers) {
    caller->Connect(system.Entry(first));
  }
  WaitForBytes(callers, 200);
  system.Process(first).Kill();
  std::vector<std::size_t> before;
  for (const auto& caller : callers) {
    before.push_back(caller->Text().size());
  }
  for (std::size_t at = 0; at < callers.size(); ++at) {
    callers[at]->FollowToBytes(before[at] + 200,
                               { system.Entry(EntryNames()[2]) });
  }
  system.Process(second).Kill();
  RequireWholeAnswers(callers, system.EntriesBut({ first, second }));
}

TEST_CASE("RestartedEntryServesAgain")
{
  // Symptom: after a restart, requests of half of the shards hang for good.
  // Sequence: an entry is killed and started again; the member list reaches it
  // before the answer that gives it its new id.
  // Cause: its ledger is made after the list came, never hears of it, and
  // answers no query of the shards' primaries.
  TestSystem system;
  system.Start();
  system.StartEngine("engine-1");
  const std::string restarted = "entryd-piraeus-b";
  system.Process(restarted).Kill();
  REQUIRE(
    Eventually([&] { return system.DirectoryOf("entryd-marousi").size() == 3; },
               std::chrono::seconds(30)));
  system.StartOwn(restarted);
  WaitUntilAllAreMembers(system);
  RequireThatAllServe(system, "restarted-");
}

TEST_CASE("EntryFrozenLongerThanItsLeasesDoesNoHarm")
{
  // Symptom: a caller gets pieces twice, or an answer stops for ever.
  // Sequence: an entry stands still for longer than every lease, others take
  // over and finish; it wakes and goes on where it was.
  // Cause: the woken entry still believes that it is in charge.
  TestSystem system;
  system.Start();
  system.StartEngine("engine-1");
  StreamCaller caller("frozen-entry", kPrompt, 100);
  const std::string frozen = "entryd-piraeus-a";
  caller.Connect(system.Entry(frozen));
  caller.WaitForBytes(200);
  system.Process(frozen).Signal(SIGSTOP);
  caller.FollowToEnd(system.EntriesBut({ frozen }));
  caller.RequireWholeAnswer();
  std::this_thread::sleep_for(kLongFreeze);
  system.Process(frozen).Signal(SIGCONT);
  // What the woken entry knows of it must be the same answer, or nothing.
  StreamCaller again("frozen-entry", kPrompt, 100);
  again.Connect(system.Entry(frozen));
  again.FollowToEnd({ system.Entry(frozen) });
  again.RequireWholeAnswer();
  CHECK(ExecutorOf(again) == ExecutorOf(caller));
  WaitUntilAllAreMembers(system);
  RequireThatAllServe(system, "woken-");
}

} // namespace peridotspool::test
