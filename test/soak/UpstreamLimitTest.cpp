// ctest-labels: soak limits
#include "soak/SoakSystem.h"
#include "soak/SoakUpstream.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace peridotspool::soak {

namespace {

constexpr int kUpstreams = 4;
constexpr int kLimited = 2;
constexpr int kCallers = 10;
constexpr Ms kUntilReady{ 2500 };
/** Between two requests of a caller. */
constexpr Ms kCallerPause{ 80 };
constexpr Ms kPatience{ 5000 };
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
  ~LimitedSystem()
  {
    mSending = false;
    for (std::thread& caller : mCallers) {
      caller.join();
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
    for (int number = 0; number < kCallers; ++number) {
      mCallers.emplace_back([this, number] { Repeat(number); });
    }
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
  /** Requests sent in a span that got no 200. */
  std::size_t Unserved(Time aFrom, Time aTo = Time::max())
  {
    const std::lock_guard lock(mMutex);
    return static_cast<std::size_t>(
      std::count_if(mUnserved.begin(), mUnserved.end(), [&](Time aAt) {
        return aAt >= aFrom && aAt < aTo;
      }));
  }
  /** Requests that a 503 ended later than this after they were sent. */
  std::size_t RefusedLate()
  {
    const std::lock_guard lock(mMutex);
    return mRefusedLate;
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

  SoakSystem& Processes() { return mSystem; }

private:
  void Repeat(int aCaller)
  {
    constexpr Ms kAtOnce{ 600 };
    std::mt19937_64 random(static_cast<std::uint64_t>(aCaller));
    for (int sent = 0; mSending; ++sent) {
      const int entry = 1 + static_cast<int>(random() % kMachines);
      const Time at = Clock::now();
      const auto answer = CallOnce(
        mSystem.Where().Own(entry),
        kCallerPort,
        RequestText("GET",
                    "/" + mService + "/x",
                    "Peridotspool-Request-Id: r" + std::to_string(aCaller) +
                      "-" + std::to_string(sent) +
                      "\r\nPeridotspool-Deadline-Ms: 2000\r\n",
                    ""),
        kPatience);
      if (!answer || answer->mStatus != 200) {
        const std::lock_guard lock(mMutex);
        mUnserved.push_back(at);
        mRefusedLate +=
          answer && answer->mStatus == 503 && Clock::now() - at > kAtOnce ? 1
                                                                          : 0;
      }
      std::this_thread::sleep_for(kCallerPause);
    }
  }

  SoakSystem mSystem;
  const std::string mService;
  std::vector<std::unique_ptr<SoakUpstream>> mUpstreams;
  std::mutex mMutex;
  std::vector<Time> mUnserved;
  std::size_t mRefusedLate = 0;
  std::atomic<bool> mSending{ true };
  std::vector<std::thread> mCallers;
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
  CHECK(system.Unserved(start) == 0);
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
  CHECK(system.Unserved(start + kGrace) > 0);
  CHECK(system.RefusedLate() == 0);
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
  CHECK(system.Unserved(start) == 0);
  system.Processes().DropLogs();
}

} // namespace peridotspool::soak
