// ctest-labels: soak promise-graceful-stop
#include "http/Eventually.h"
#include "soak/SoakSystem.h"
#include "soak/SoakUpstream.h"

#include <catch2/catch.hpp>

#include <set>
#include <string>
#include <thread>
#include <vector>

namespace peridotspool::soak {

namespace {

constexpr int kBlock = 130;
constexpr int kMachine = 1;
constexpr Ms kGrace{ 8000 };
constexpr Ms kPeriod{ 100 };
constexpr std::chrono::seconds kPatience{ 30 };
/** Requests that come later than this are to go elsewhere. */
constexpr Ms kLate{ 3000 };

struct Asked
{
  std::string mId;
  Ms mAfterStop{ 0 };
  /** Empty if no connection was made. */
  std::optional<HttpText> mAnswer;
};

/** A configuration whose requests last longer than the grace. */
std::string
PatientConfig()
{
  std::string config = ConfigText(2);
  const std::string old = "\"timeout_ms\":2000,";
  for (std::size_t at = config.find(old); at != std::string::npos;
       at = config.find(old)) {
    config.replace(at, old.size(), "\"timeout_ms\":20000,");
  }
  return config;
}

void
Ask(const std::string& aHost, Asked& aAsked)
{
  auto wire = Wire::Connect(aHost, kCallerPort, Ms(1000));
  if (!wire) {
    return;
  }
  wire->Send(RequestText("POST",
                         "/once/x",
                         "Peridotspool-Request-Id: " + aAsked.mId +
                           "\r\nPeridotspool-Deadline-Ms: 20000\r\n",
                         "body " + aAsked.mId));
  aAsked.mAnswer = wire->ReadAnswer(Ms(20000), Ms(20000));
}

} // namespace

// Guards against requests that a stopping process has passed on and that end
// with it, without an answer: they wait for their upstream beyond the grace.
TEST_CASE("AStoppingEntryAnswersEachRequestThatItHasPassedOn")
{
  SoakSystem system(kBlock, "planned-stop");
  SoakUpstream upstream(system.Where(), 1, NameOf(Kind::kOnce), system.Seen());
  upstream.Start();
  REQUIRE(system.Start());
  const std::string order = RequestText("POST",
                                        "/config/replace",
                                        "Content-Type: application/json\r\n",
                                        PatientConfig());
  REQUIRE(test::Eventually(
    [&] {
      const auto answer = system.Operator().Call(kMachine, order);
      return answer && answer->mStatus == 200;
    },
    kPatience));
  const std::string host = system.Where().Own(kMachine);
  REQUIRE(test::Eventually(
    [&] {
      Asked asked{ .mId = "first" };
      Ask(host, asked);
      return asked.mAnswer && asked.mAnswer->mStatus == 200;
    },
    kPatience));
  upstream.Misbehave(FaultKind::kMute);

  const Time stopAt = Clock::now();
  system.Machine(kMachine).AskToStop();
  std::vector<Asked> asked(static_cast<std::size_t>(kGrace / kPeriod));
  std::vector<std::thread> callers;
  for (std::size_t i = 0; i < asked.size(); ++i) {
    asked[i] = { .mId = "r" + std::to_string(i),
                 .mAfterStop = kPeriod * static_cast<int>(i) };
    callers.emplace_back([&, i] {
      std::this_thread::sleep_until(stopAt + asked[i].mAfterStop);
      Ask(host, asked[i]);
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  const auto ran = system.Seen().With([](const Record& aRecord) {
    std::set<std::string> ids;
    for (const SeenRun& run : aRecord.mRuns) {
      ids.insert(run.mId);
    }
    return ids;
  });
  std::size_t passedOn = 0;
  for (const Asked& one : asked) {
    const bool isPassedOn = ran.contains(one.mId);
    passedOn += isPassedOn ? 1 : 0;
    INFO("request " << one.mId << ", sent " << one.mAfterStop.count()
                    << " ms after the order to stop, "
                    << (isPassedOn ? "passed on" : "not passed on")
                    << "; expected an answer, and none passed on late");
    CHECK_FALSE((isPassedOn && one.mAfterStop > kLate));
    if (isPassedOn) {
      REQUIRE(one.mAnswer);
      CHECK(one.mAnswer->mWhole);
      CHECK(one.mAnswer->mStatus == 502);
    }
  }
  CHECK(passedOn > 0);
  system.DropLogs();
}

} // namespace peridotspool::soak
