#include "hostile/HostileSystem.h"

#include "http/Eventually.h"

#include <catch2/catch.hpp>

#include <thread>

namespace peridotspool::hostile {

namespace {

using soak::Kind;
using soak::Ms;

constexpr int kFirstMachine = 1;
constexpr std::chrono::seconds kPatience{ 30 };
constexpr std::chrono::seconds kIdleTime{ 2 };

std::string
Settings()
{
  return "bounds:\n  frame: 32MiB\n  upstream_memory: 32MiB\n  connections: " +
         std::to_string(kConnections) + "\n";
}

} // namespace

HostileSystem::HostileSystem(int aBlock)
  : mSystem(aBlock, "hostile")
  , mUpstream(mSystem.Where(), 1, soak::NameOf(Kind::kSafe), mSystem.Seen())
{
  for (int number = 1; number <= soak::kMachines; ++number) {
    mSystem.Machine(number).AddSettings(Settings());
  }
}

HostileSystem::~HostileSystem()
{
  if (std::uncaught_exceptions() == 0) {
    mSystem.DropLogs();
  }
}

void
HostileSystem::Start()
{
  mUpstream.Start();
  REQUIRE(mSystem.Start());
  SendLimits();
  // The first limits refuse it.
  CheckServes(kMaxBodyBytes);
}

void
HostileSystem::SendLimits()
{
  std::string config = soak::ConfigText(2);
  const std::string old = "\"max_body_bytes\":1048576";
  config.replace(config.find(old),
                 old.size(),
                 "\"max_body_bytes\":" + std::to_string(kMaxBodyBytes));
  const std::string request = soak::RequestText(
    "POST", "/config/replace", "Content-Type: application/json\r\n", config);
  REQUIRE(test::Eventually(
    [&] {
      const auto answer = mSystem.Operator().Call(kFirstMachine, request);
      return answer && answer->mStatus == 200;
    },
    kPatience));
}

std::unique_ptr<ProcessWatch>
HostileSystem::WatchEntry()
{
  return std::make_unique<ProcessWatch>(
    mSystem.Machine(kFirstMachine).EntryPid(), Host());
}

std::unique_ptr<ProcessWatch>
HostileSystem::WatchControl()
{
  return std::make_unique<ProcessWatch>(
    mSystem.Machine(kFirstMachine).ControlPid(), Host());
}

std::set<std::string>
HostileSystem::Runs()
{
  return mSystem.Seen().With([](const soak::Record& aRecord) {
    std::set<std::string> ids;
    for (const soak::SeenRun& run : aRecord.mRuns) {
      ids.insert(run.mId);
    }
    return ids;
  });
}

void
HostileSystem::WaitUntilIdle()
{
  std::size_t runs = 0;
  do {
    runs = Runs().size();
    std::this_thread::sleep_for(kIdleTime);
  } while (Runs().size() != runs);
}

bool
HostileSystem::IsServed(std::size_t aBodyBytes)
{
  const auto answer =
    soak::CallOnce(Host(),
                   soak::kCallerPort,
                   soak::RequestText("POST",
                                     "/safe/x",
                                     "Peridotspool-Request-Id: ordinary-" +
                                       std::to_string(++mRequests) + "\r\n",
                                     std::string(aBodyBytes, 'x')),
                   Ms(5000));
  return answer && answer->mStatus == 200;
}

void
HostileSystem::CheckLives()
{
  for (int number = 1; number <= soak::kMachines; ++number) {
    for (const std::string& end : mSystem.Machine(number).OwnEnds()) {
      FAIL_CHECK("expected all processes to live, found the end of "
                 << end << "; its log is in " << mSystem.Folder());
    }
  }
}

void
HostileSystem::CheckServes(std::size_t aBodyBytes)
{
  INFO("expected an ordinary request to be answered; logs in "
       << mSystem.Folder());
  REQUIRE(test::Eventually([&] { return IsServed(aBodyBytes); }, kPatience));
}

void
HostileSystem::CheckHolds(const ProcessWatch& aWatch)
{
  CheckLives();
  INFO("the process held " << aWatch.PeakBytes() << " bytes, expected at most "
                           << kMachineBytes << "; find out what holds them");
  CHECK(aWatch.PeakBytes() <= kMachineBytes);
  CheckServes();
  CheckLives();
}

void
CheckCrowd(int aBlock, std::size_t aClients, const ClientScript& aScript)
{
  HostileSystem system(aBlock);
  system.Start();
  const auto watch = system.WatchEntry();
  HostileCrowd crowd(system.Host(), soak::kCallerPort, aClients, aScript);
  crowd.Send();
  system.CheckHolds(*watch);
}

} // namespace peridotspool::hostile
