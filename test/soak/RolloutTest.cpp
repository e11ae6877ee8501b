// ctest-labels: soak promise-rollout
#include "soak/SoakSystem.h"
#include "soak/SoakUpstream.h"
#include "soak/SteadyCallers.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace peridotspool::soak {

namespace {

constexpr int kUpstreamsEach = 4;
constexpr int kCallers = 9;
constexpr Ms kUntilReady{ 2500 };
constexpr Ms kReadEach{ 200 };
constexpr Ms kDuration{ 12000 };
constexpr Ms kRollBackWithin{ 5000 };
constexpr std::size_t kBadUntilDue = 50;
constexpr double kExposeShare = 0.1;
constexpr double kExposeSlack = 50.0;
const std::string kNewVersion = "v2";

std::string
StateIn(const std::optional<HttpText>& aAnswer)
{
  if (!aAnswer || aAnswer->mStatus != 200) {
    return "";
  }
  for (const char* state : { "running", "completed", "rolled_back" }) {
    if (aAnswer->mBody.find("\"" + std::string(state) + "\"") !=
        std::string::npos) {
      return state;
    }
  }
  return "";
}

/** A whole system, one service with upstreams of two versions, and callers. */
class RolloutSystem
{
public:
  explicit RolloutSystem(int aBlock)
    : mSystem(aBlock, "rollout")
    , mService(NameOf(Kind::kSafe))
  {
    for (int number = 1; number <= 2 * kUpstreamsEach; ++number) {
      mUpstreams.push_back(std::make_unique<SoakUpstream>(
        mSystem.Where(), number, mService, mSystem.Seen()));
      if (number > kUpstreamsEach) {
        mUpstreams.back()->UseVersion(kNewVersion);
      }
    }
  }
  RolloutSystem(const RolloutSystem&) = delete;
  RolloutSystem& operator=(const RolloutSystem&) = delete;

  bool Start()
  {
    ForVersion("v1", [](SoakUpstream& aOne) { aOne.Start(); });
    if (!mSystem.Start()) {
      return false;
    }
    std::this_thread::sleep_for(kUntilReady);
    mCallers =
      std::make_unique<SteadyCallers>(mSystem.Where(), mService, kCallers);
    std::this_thread::sleep_for(Ms(1000));
    return true;
  }

  void ForVersion(const std::string& aVersion,
                  const std::function<void(SoakUpstream&)>& aDo)
  {
    for (const auto& upstream : mUpstreams) {
      if (upstream->Version() == aVersion) {
        aDo(*upstream);
      }
    }
  }

  /** Sends the order; returns the status, 0 without an answer. */
  unsigned SendOrder(int aMachine = 1)
  {
    const auto answer = mSystem.Operator().Call(
      aMachine,
      RequestText("POST",
                  "/rollouts/start",
                  "Content-Type: application/json\r\n",
                  R"({"service":")" + mService + R"(","to":")" + kNewVersion +
                    R"(","duration_s":12})"));
    return answer ? answer->mStatus : 0;
  }

  /** Orders the new version, and starts its upstreams; returns the status. */
  unsigned Order()
  {
    const unsigned status = SendOrder();
    mOrderedAt = Clock::now();
    ForVersion(kNewVersion, [](SoakUpstream& aOne) { aOne.Start(); });
    return status;
  }

  std::string State(int aMachine = 1)
  {
    return StateIn(mSystem.Operator().Call(
      aMachine, RequestText("GET", "/rollouts/" + mService + "/read", "", "")));
  }

  /** Reads until the rollout is over, and does something each time. */
  std::string WaitForEnd(const std::function<void()>& aDo = [] {})
  {
    for (int read = 0; Clock::now() < mOrderedAt + 2 * kDuration; ++read) {
      const std::string state = State(read % kControls + 1);
      if (state == "completed" || state == "rolled_back") {
        mEndedAt = Clock::now();
        return state;
      }
      aDo();
      std::this_thread::sleep_for(kReadEach);
    }
    return "running";
  }

  SoakSystem& Processes() { return mSystem; }
  Time OrderedAt() const { return mOrderedAt; }
  Time EndedAt() const { return mEndedAt; }

  std::size_t NewRuns(Time aFrom = {}, Time aTo = Time::max())
  {
    return Runs(aFrom, aTo, kNewVersion);
  }
  std::size_t OldRuns(Time aFrom = {}, Time aTo = Time::max())
  {
    return Runs(aFrom, aTo, "v1");
  }
  std::vector<Time> BadAnswers()
  {
    return mSystem.Seen().With([](const Record& aRecord) {
      std::vector<Time> times;
      for (const SeenFailure& failure : aRecord.mFailures) {
        times.push_back(failure.mAt);
      }
      return times;
    });
  }
  /** Requests that got no whole 200, sent after a moment. */
  std::size_t Unserved(Time aFrom) { return mCallers->Unserved(aFrom); }

private:
  std::size_t Runs(Time aFrom, Time aTo, const std::string& aVersion)
  {
    return mSystem.Seen().With([&](const Record& aRecord) {
      return static_cast<std::size_t>(std::count_if(
        aRecord.mRuns.begin(), aRecord.mRuns.end(), [&](const SeenRun& aRun) {
          return aRun.mVersion == aVersion && aRun.mAt >= aFrom &&
                 aRun.mAt < aTo;
        }));
    });
  }

  SoakSystem mSystem;
  const std::string mService;
  std::vector<std::unique_ptr<SoakUpstream>> mUpstreams;
  Time mOrderedAt;
  Time mEndedAt;
  std::unique_ptr<SteadyCallers> mCallers;
};

void
CheckBounds(RolloutSystem& aSystem)
{
  const Time from = aSystem.OrderedAt();
  const Time to = from + kDuration;
  const std::size_t tried = aSystem.NewRuns(from, to);
  const std::size_t all = tried + aSystem.OldRuns(from, to);
  INFO(tried << " of " << all << " requests went to the new version, "
             << aSystem.BadAnswers().size() << " got a failure; logs in "
             << aSystem.Processes().Folder());
  CHECK(static_cast<double>(tried) <=
        kExposeShare * static_cast<double>(all) + kExposeSlack);
  const auto bad = aSystem.BadAnswers();
  if (bad.size() >= kBadUntilDue) {
    CHECK(aSystem.NewRuns(bad[kBadUntilDue - 1] + kRollBackWithin) == 0);
  }
}

} // namespace

// Guards against callers that lose an answer when the old version stops.
TEST_CASE("ASoundVersionTakesOverWithoutCuttingAnybody")
{
  RolloutSystem system(74);
  REQUIRE(system.Start());
  REQUIRE(system.Order() == 200);
  REQUIRE(system.Order() == 200);
  CHECK(system.WaitForEnd() == "completed");
  CHECK(system.EndedAt() - system.OrderedAt() < kDuration);
  system.ForVersion("v1", [](SoakUpstream& aOne) { aOne.Crash(); });
  const Time stoppedAt = Clock::now();
  std::this_thread::sleep_for(Ms(3000));
  INFO("logs in " << system.Processes().Folder());
  CHECK(system.Unserved(system.OrderedAt()) == 0);
  CHECK(system.NewRuns(stoppedAt) > 0);
  CHECK(system.OldRuns(stoppedAt) == 0);
  system.Processes().DropLogs();
}

// Guards against a bad version that is rolled back late, or not, because the
// leader that watched it is gone.
TEST_CASE("ABadVersionIsRolledBackWhenLeadersAreKilled")
{
  RolloutSystem system(75);
  REQUIRE(system.Start());
  system.ForVersion(
    kNewVersion, [](SoakUpstream& aOne) { aOne.Misbehave(FaultKind::kFail); });
  REQUIRE(system.Order() == 200);
  int killed = 0;
  const std::string state = system.WaitForEnd([&] {
    // One replica after the other, so that the leader is among them.
    const Time due = system.OrderedAt() + Ms(1000 + 2500 * killed);
    if (killed < 2 && Clock::now() >= due) {
      SoakMachine& machine = system.Processes().Machine(killed + 1);
      machine.KillControl();
      machine.StartControl();
      ++killed;
    }
  });
  CHECK(state == "rolled_back");
  std::this_thread::sleep_for(Ms(3000));
  CheckBounds(system);
  CHECK(system.NewRuns(system.EndedAt() + Ms(1000)) == 0);
  system.Processes().DropLogs();
}

// Guards against an acknowledged order that is lost with all processes.
TEST_CASE("AnOrderSurvivesTheEndOfAllProcesses")
{
  RolloutSystem system(76);
  REQUIRE(system.Start());
  system.ForVersion(
    kNewVersion, [](SoakUpstream& aOne) { aOne.Misbehave(FaultKind::kFail); });
  REQUIRE(system.Order() == 200);
  for (int number = 1; number <= kMachines; ++number) {
    SoakMachine& machine = system.Processes().Machine(number);
    if (machine.HasControl()) {
      machine.KillControl();
    }
    machine.KillEntry();
    machine.StartAll();
  }
  // A leader that was elected just now knows the services of the settings.
  std::vector<unsigned> refused;
  for (int sent = 0; sent < 200; ++sent) {
    const unsigned status = system.SendOrder(sent % kControls + 1);
    if (status / 100 == 4) {
      refused.push_back(status);
    }
    std::this_thread::sleep_for(Ms(10));
  }
  CHECK(refused == std::vector<unsigned>{});
  CHECK(system.WaitForEnd() == "rolled_back");
  CheckBounds(system);
  system.Processes().DropLogs();
}

} // namespace peridotspool::soak
