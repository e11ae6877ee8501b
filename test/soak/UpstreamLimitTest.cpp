// ctest-labels: soak limits
#include "soak/SoakSystem.h"
#include "soak/SoakUpstream.h"
#include "soak/SteadyCallers.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace peridotspool::soak {

namespace {

constexpr int kUpstreams = 4;
constexpr int kLimited = 2;
constexpr int kCallers = 10;
constexpr Ms kUntilReady{ 2500 };
/** The users' rule. */
constexpr Ms kGrace{ 3000 };
constexpr Ms kWindow{ 4000 };
constexpr double kAllowedFactor = 1.5;
constexpr double kAllowedExtra = 5.0;

/** A whole system, one service of which some upstreams state a limit. */
class LimitedSystem
{
public:
  LimitedSystem(int aBlock, const std::string& aName)
    : mSystem(aBlock, aName)
    , mService(NameOf(Kind::kSafe))
  {
    for (int number = 1; number <= kUpstreams; ++number) {
      mUpstreams.push_back(std::make_unique<SoakUpstream>(
        mSystem.Where(), number, mService, mSystem.Seen()));
    }
  }
  LimitedSystem(const LimitedSystem&) = delete;
  LimitedSystem& operator=(const LimitedSystem&) = delete;

  bool Start()
  {
    for (const auto& upstream : mUpstreams) {
      upstream->Start();
    }
    if (!mSystem.Start()) {
      return false;
    }
    std::this_thread::sleep_for(kUntilReady);
    mCallers =
      std::make_unique<SteadyCallers>(mSystem.Where(), mService, kCallers);
    std::this_thread::sleep_for(Ms(1000));
    return true;
  }

  /** The first upstreams state a limit, as written, from now on. */
  void StateLimit(const std::string& aValue, int aUpstreams = kLimited)
  {
    for (int i = 0; i < aUpstreams; ++i) {
      mUpstreams[static_cast<std::size_t>(i)]->StateLimit(aValue);
    }
  }

  /** Requests that reached an upstream that stated a limit. */
  std::vector<Time> Arrivals(int aUpstream, Time aFrom)
  {
    const std::string name = mUpstreams.at(aUpstream)->Name();
    return mSystem.Seen().With([&](const Record& aRecord) {
      std::vector<Time> times;
      for (const SeenLimited& one : aRecord.mLimited) {
        if (one.mUpstream == name && one.mAt >= aFrom) {
          times.push_back(one.mAt);
        }
      }
      return times;
    });
  }
  std::size_t Runs(int aUpstream, Time aFrom)
  {
    const std::string name = mUpstreams.at(aUpstream)->Name();
    return mSystem.Seen().With([&](const Record& aRecord) {
      return static_cast<std::size_t>(std::count_if(
        aRecord.mRuns.begin(), aRecord.mRuns.end(), [&](const SeenRun& aRun) {
          return aRun.mUpstream == name && aRun.mAt >= aFrom;
        }));
    });
  }
  /** Checks the users' bound on each limited upstream. */
  void CheckBound(double aPerSecond, Time aFrom, int aUpstreams = kLimited)
  {
    const double allowed = kAllowedFactor * aPerSecond *
                             std::chrono::duration<double>(kWindow).count() +
                           kAllowedExtra;
    for (int upstream = 0; upstream < aUpstreams; ++upstream) {
      const auto arrivals = Arrivals(upstream, aFrom + kGrace);
      std::size_t most = 0;
      for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
        const auto end =
          std::lower_bound(first, arrivals.end(), *first + kWindow);
        most = std::max(most, static_cast<std::size_t>(end - first));
      }
      INFO("upstream " << upstream << " got " << most
                       << " requests in 4 s, expected at most " << allowed
                       << " at a limit of " << aPerSecond << "; logs in "
                       << mSystem.Folder());
      CHECK(static_cast<double>(most) <= allowed);
    }
  }

  /** Checks that most of the offered requests were sent. */
  void CheckUse(double aPerSecond, Time aFrom, int aUpstreams = kLimited)
  {
    const double offered =
      aPerSecond *
      std::chrono::duration<double>(Clock::now() - aFrom - kGrace).count();
    for (int upstream = 0; upstream < aUpstreams; ++upstream) {
      const std::size_t used = Arrivals(upstream, aFrom + kGrace).size();
      INFO("upstream " << upstream << " got " << used << " of " << offered
                       << " requests that its limit offers; logs in "
                       << mSystem.Folder());
      CHECK(static_cast<double>(used) >= 0.6 * offered);
    }
  }

  const SteadyCallers& Callers() const { return *mCallers; }
  SoakSystem& Processes() { return mSystem; }

private:
  SoakSystem mSystem;
  const std::string mService;
  std::vector<std::unique_ptr<SoakUpstream>> mUpstreams;
  std::unique_ptr<SteadyCallers> mCallers;
};

} // namespace

// Guards against processes that each send at their own rate to an upstream
// whose limit holds for all of them together.
TEST_CASE("AStatedLimitIsKeptUsedAndForgottenAfterItsEnd")
{
  LimitedSystem system(77, "limit");
  REQUIRE(system.Start());
  const Time start = Clock::now();
  system.StateLimit("1.0");
  std::this_thread::sleep_for(kGrace + Ms(9000));
  system.CheckBound(1.0, start);
  system.CheckUse(1.0, start);
  CHECK(system.Callers().Unserved(start) == 0);
  system.StateLimit("");
  std::this_thread::sleep_for(Ms(3000));
  const Time ended = Clock::now();
  std::this_thread::sleep_for(Ms(2000));
  for (int upstream = 0; upstream < kLimited; ++upstream) {
    INFO("upstream " << upstream << " states no limit any more; logs in "
                     << system.Processes().Folder());
    CHECK(system.Runs(upstream, ended) >= 10);
  }
  system.Processes().DropLogs();
}

// Guards against coordinators that grant beside each other while processes are
// killed, frozen and restarted.
TEST_CASE("AStatedLimitIsKeptWhileEntriesAreKilledFrozenAndStopped")
{
  LimitedSystem system(78, "limit-faults");
  REQUIRE(system.Start());
  const Time start = Clock::now();
  system.StateLimit("3.0");
  std::this_thread::sleep_for(kGrace);
  for (int number = 1; number <= kMachines; ++number) {
    SoakMachine& machine = system.Processes().Machine(number);
    switch (number % 3) {
      case 0:
        machine.Signal(SIGSTOP);
        std::this_thread::sleep_for(Ms(1800));
        machine.Signal(SIGCONT);
        break;
      case 1:
        machine.KillEntry();
        std::this_thread::sleep_for(Ms(300));
        machine.StartEntry();
        break;
      default:
        machine.AskToStop();
        std::this_thread::sleep_for(Ms(2500));
        machine.KillEntry();
        if (machine.HasControl()) {
          machine.KillControl();
        }
        machine.StartAll();
    }
    std::this_thread::sleep_for(Ms(1500));
  }
  std::this_thread::sleep_for(Ms(3000));
  system.CheckBound(3.0, start);
  system.Processes().DropLogs();
}

// Guards against callers that wait in vain, or are refused late, when all
// upstreams of a service are limited.
TEST_CASE("RequestsBeyondTheLimitsOfAllUpstreamsAreRefusedAtOnce")
{
  LimitedSystem system(79, "limit-all");
  REQUIRE(system.Start());
  const Time start = Clock::now();
  system.StateLimit("2.0", kUpstreams);
  std::this_thread::sleep_for(kGrace + Ms(8000));
  system.CheckBound(2.0, start, kUpstreams);
  system.CheckUse(2.0, start, kUpstreams);
  CHECK(system.Callers().Unserved(start + kGrace) > 0);
  CHECK(system.Callers().RefusedLate() == 0);
  system.Processes().DropLogs();
}

// Guards against a malformed limit that stops an upstream's traffic.
TEST_CASE("AnUnreadableLimitChangesNothing")
{
  LimitedSystem system(80, "limit-invalid");
  REQUIRE(system.Start());
  const Time start = Clock::now();
  for (const char* value : { "nan", "-1", "0", "1,1", "many" }) {
    system.StateLimit(value);
    std::this_thread::sleep_for(Ms(600));
  }
  for (int upstream = 0; upstream < kLimited; ++upstream) {
    CHECK(system.Runs(upstream, start) >= 10);
  }
  CHECK(system.Callers().Unserved(start) == 0);
  system.Processes().DropLogs();
}

} // namespace peridotspool::soak
