// ctest-labels: promise-graceful-stop promise-survives-reclaim
// promise-leaving-upstream
#include "http/Eventually.h"
#include "process/StreamCaller.h"
#include "process/TestSystem.h"

#include <catch2/catch.hpp>
#include <csignal>

namespace peridotspool::test {

namespace {

const std::string kPrompt = "changeover plan for 8815-A on SMT-3";
/** After this long no entry may still choose an upstream that leaves. */
constexpr std::int64_t kNewsMs = 2000;

} // namespace

TEST_CASE("AnnouncedReclaimOfAnEntryCutsNothingShort")
{
  // Symptom: an answer breaks off at a planned stop.
  // Sequence: SIGTERM comes while the entry streams an answer.
  // Cause: the entry ends before its requests have, or before others hold them.
  TestSystem system;
  system.Start();
  system.StartEngine("engine-1");
  StreamCaller caller("stopped-entry", kPrompt, 200);
  const std::string leaving = "entryd-piraeus-b";
  caller.Connect(system.Entry(leaving));
  caller.WaitForBytes(200);
  system.Process(leaving).Signal(SIGTERM);
  caller.FollowToEnd(system.EntriesBut({ leaving }));
  caller.RequireWholeAnswer();
  CHECK(system.Process(leaving).WaitForEnd() == 0);
  CHECK(system.Noted("start", "stopped-entry").size() == 1);
}

TEST_CASE("LeavingEntryIsLeftOutOfTheDirectory")
{
  TestSystem system;
  system.Start();
  const std::string leaving = "entryd-marousi";
  const std::string address = system.Files().Listen(leaving, "http");
  system.Process(leaving).Signal(SIGTERM);
  CHECK(Eventually(
    [&] {
      const auto listed = system.DirectoryOf("entryd-elefsina");
      return listed.size() == 3 &&
             std::count(listed.begin(), listed.end(), address) == 0;
    },
    std::chrono::seconds(30)));
}

TEST_CASE("AnnouncedReclaimOfAnEngineCutsNothingShort")
{
  // Symptom: an answer breaks off, or is computed twice, at a planned stop.
  // Sequence: SIGTERM comes while the engine streams; it says that it leaves
  // and finishes what it has.
  // Cause: the system takes "leaving" for "gone", or goes on sending it work.
  TestSystem system;
  system.Start();
  system.StartEngine("engine-1", { "--leave-linger-ms", "4000" });
  StreamCaller caller("stopped-engine", kPrompt, 200);
  caller.Connect(system.Entry("entryd-marousi"));
  caller.WaitForBytes(200);
  system.StartEngine("engine-2");
  system.Process("engine-1").Signal(SIGTERM);
  int more = 0;
  while (system.Process("engine-1").IsRunning()) {
    const std::string key = "after-leaving-" + std::to_string(more);
    StreamCaller next(key, kPrompt + key, 3);
    next.Connect(system.Entry(EntryNames()[more++ % EntryNames().size()]));
    next.FollowToEnd(system.EntriesBut({}));
    next.RequireWholeAnswer();
  }
  caller.FollowToEnd(system.EntriesBut({}));
  caller.RequireWholeAnswer();
  CHECK(system.Process("engine-1").WaitForEnd() == 0);
  CHECK(system.Noted("start", "stopped-engine").size() == 1);
  std::int64_t leftAt = 0;
  for (const json::object& line : system.Journal("engine-1")) {
    const std::int64_t at = fakes::NumberOf(line, "at_ms");
    const std::string what = fakes::TextOf(line, "what");
    leftAt = what == "leaving" ? at : leftAt;
    INFO("new work " << at - leftAt << " ms after the engine said it leaves");
    CHECK_FALSE((what == "start" && leftAt != 0 && at > leftAt + kNewsMs));
  }
  CHECK(leftAt != 0);
}

} // namespace peridotspool::test
