// ctest-labels: soak
#include "soak/SoakSystem.h"
#include "soak/SoakUpstream.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace peridotspool::soak {

namespace {

constexpr int kUpstreams = 8;
constexpr int kCallers = 3;
/** Until all entries know all upstreams. */
constexpr Ms kUntilReady{ 2500 };
constexpr Ms kSlice{ 5 };
/** An upstream that died is back after this long. */
constexpr Ms kBackAfter{ 2000 };
/** A caller sends the request again so soon after its answer. */
constexpr Ms kAgainAfter{ 150 };
constexpr Ms kPatience{ 5000 };

/** So many lives of upstreams may one request end before it is known. */
constexpr std::size_t kEndsBeforeKnown = 3;
/** All entries that reach control know it by then. */
constexpr Ms kKnownAfter{ 3000 };
/** What may still get through, over all entries and for good. */
constexpr std::size_t kMostAfterwards = 3;

const std::string kDeadlyStream = "/stream/deadly";
const std::string kDeadlyResumable = "/resume/deadly";

/** Something done to the system, so long after the third life has ended. */
struct Deed
{
  Ms mAfter{ 0 };
  std::function<void()> mDo;
};

/**
 * A whole system whose upstreams die of one request, and callers that send it
 * again and again, always with the same content, to any entry.
 */
class DeadlySystem
{
public:
  DeadlySystem(int aBlock, std::string aTarget)
    : mSystem(aBlock, "deadly")
    , mTarget(std::move(aTarget))
  {
    for (int number = 1; number <= kUpstreams; ++number) {
      mUpstreams.push_back(std::make_unique<SoakUpstream>(
        mSystem.Where(),
        number,
        NameOf(number % 2 == 0 ? Kind::kStream : Kind::kResume),
        mSystem.Seen()));
      mUpstreams.back()->DieOf(mTarget);
    }
  }

  ~DeadlySystem()
  {
    mSending = false;
    for (std::thread& caller : mCallers) {
      caller.join();
    }
  }
  DeadlySystem(const DeadlySystem&) = delete;
  DeadlySystem& operator=(const DeadlySystem&) = delete;

  bool Start()
  {
    for (const auto& upstream : mUpstreams) {
      upstream->Start();
    }
    if (!mSystem.Start()) {
      return false;
    }
    std::this_thread::sleep_for(kUntilReady);
    return true;
  }

  SoakMachine& Machine(int aNumber) { return mSystem.Machine(aNumber); }

  /** Plays for so long, and does the deeds in their order. */
  void Play(Ms aFor, const std::vector<Deed>& aDeeds = {})
  {
    for (int number = 0; number < kCallers; ++number) {
      mCallers.emplace_back([this, number] { Repeat(number); });
    }
    const Time end = Clock::now() + aFor;
    auto next = aDeeds.begin();
    while (Clock::now() < end) {
      std::this_thread::sleep_for(kSlice);
      ReviveUpstreams();
      const auto third = ThirdEnd();
      if (next != aDeeds.end() && third &&
          Clock::now() >= *third + next->mAfter) {
        next->mDo();
        ++next;
      }
    }
  }

  /** Its logs are wanted no more. */
  void DropLogs() { mSystem.DropLogs(); }

  std::optional<Time> ThirdEnd()
  {
    return mSystem.Seen().With([](const Record& aRecord) {
      return aRecord.mEnds.size() < kEndsBeforeKnown
               ? std::nullopt
               : std::optional(aRecord.mEnds[kEndsBeforeKnown - 1].mAt);
    });
  }

  /** Runs that began when every entry had to know. */
  std::size_t RunsAfterwards()
  {
    const auto third = ThirdEnd();
    return mSystem.Seen().With([&](const Record& aRecord) {
      return static_cast<std::size_t>(std::count_if(
        aRecord.mRuns.begin(), aRecord.mRuns.end(), [&](const SeenRun& aRun) {
          return third && aRun.mPath == mTarget &&
                 aRun.mAt > *third + kKnownAfter;
        }));
    });
  }

  std::size_t Ends()
  {
    return mSystem.Seen().With(
      [](const Record& aRecord) { return aRecord.mEnds.size(); });
  }

  const std::filesystem::path& Folder() const { return mSystem.Folder(); }

private:
  void ReviveUpstreams()
  {
    for (const auto& upstream : mUpstreams) {
      if (!upstream->HasDied()) {
        continue;
      }
      const auto [died, added] =
        mDiedAt.try_emplace(upstream.get(), Clock::now());
      if (!added && Clock::now() - died->second >= kBackAfter) {
        mDiedAt.erase(died);
        upstream->Start();
      }
    }
  }

  // A request that is refused comes again as well: what a caller was told
  // doesn't matter here, what reaches upstreams does.
  void Repeat(int aCaller)
  {
    std::mt19937_64 random(static_cast<std::uint64_t>(aCaller));
    for (int sent = 0; mSending; ++sent) {
      const int entry = 1 + static_cast<int>(random() % kMachines);
      CallOnce(mSystem.Where().Own(entry),
               kCallerPort,
               RequestText("POST",
                           mTarget,
                           "Peridotspool-Request-Id: d" +
                             std::to_string(aCaller) + "-" +
                             std::to_string(sent) +
                             "\r\nPeridotspool-Deadline-Ms: 4000\r\n",
                           "the same each time"),
               kPatience);
      std::this_thread::sleep_for(kAgainAfter);
    }
  }

  SoakSystem mSystem;
  const std::string mTarget;
  std::vector<std::unique_ptr<SoakUpstream>> mUpstreams;
  std::map<SoakUpstream*, Time> mDiedAt;
  std::atomic<bool> mSending{ true };
  std::vector<std::thread> mCallers;
};

void
CheckBound(DeadlySystem& aSystem)
{
  INFO("lives that ended: " << aSystem.Ends() << "; logs in "
                            << aSystem.Folder()
                            << ": follow the content of UpstreamEnded lines");
  REQUIRE(aSystem.ThirdEnd().has_value());
  const std::size_t afterwards = aSystem.RunsAfterwards();
  CHECK(afterwards <= kMostAfterwards);
  if (afterwards <= kMostAfterwards) {
    aSystem.DropLogs();
  }
}

} // namespace

// Symptom: engine after engine of a model service ended and was back after some
// seconds, 26 in ten seconds; each end cut the answers of two to seven callers,
// most of whom had asked for something else.
// Sequence: a caller's request ended the engine that began it. The caller, who
// had got no answer, sent the same again, under a new id, to any entry; that
// entry sent it to the next engine, also after the third had ended.
// Cause: an end was held against the engine alone. An entry forgot a request
// with its answer, entries told each other nothing of it, and no bound on
// attempts or repeats covers what comes as a new request.
// Evidence: of twelve ends in fourteen seconds all had one content among the
// requests that were lost by them, and no other content was in two; it was sent
// 106 times, each time under a new id and with its first attempt, ran 21 times
// and was answered never. A closed connection alone shows no end: each time the
// engine's address refused connections a few milliseconds later.
TEST_CASE("ARequestThatEndsUpstreamsIsHeldBackByAllEntries")
{
  const std::string target = GENERATE(kDeadlyStream, kDeadlyResumable);
  DeadlySystem system(target == kDeadlyStream ? 71 : 72, target);
  REQUIRE(system.Start());
  system.Play(Ms(12000));
  CheckBound(system);
}

// The same, while processes that know it are killed: an entry right after the
// third end, all entries later, and at last all entries and control replicas.
TEST_CASE("ItStaysHeldBackWhenProcessesAreKilled")
{
  DeadlySystem system(73, kDeadlyStream);
  REQUIRE(system.Start());
  const auto killEntry = [&](int aMachine) {
    system.Machine(aMachine).KillEntry();
    system.Machine(aMachine).StartEntry();
  };
  system.Play(Ms(20000),
              { { .mAfter = Ms(20), .mDo = [&] { killEntry(5); } },
                { .mAfter = Ms(5000),
                  .mDo =
                    [&] {
                      for (int machine = 1; machine <= kMachines; ++machine) {
                        killEntry(machine);
                      }
                    } },
                { .mAfter = Ms(9000), .mDo = [&] {
                   for (int machine = 1; machine <= kMachines; ++machine) {
                     system.Machine(machine).KillControl();
                     system.Machine(machine).KillEntry();
                     system.Machine(machine).StartAll();
                   }
                 } } });
  CheckBound(system);
}

} // namespace peridotspool::soak
