// ctest-labels: hostile
// Upstreams that send an answer without end to an entry.

#include "process/EndlessUpstream.h"
#include "fakes/support/Answers.h"
#include "http/CallLog.h"
#include "peridotspool/http/SseWriter.h"
#include "process/TestSystem.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <fstream>

namespace peridotspool::test {

namespace {

using std::chrono::seconds;

/** Of the smallest machines on which entries run. */
constexpr std::size_t kMachineBytes = 160'000'000;
/** As many as the customer may send at once. */
constexpr http::ClientCallId kCallers = 20;
constexpr std::size_t kPartBytes = 8192;
const std::string kEntry = "entryd-elefsina";

/** Returns the most memory that a process has held, in bytes. */
std::size_t
PeakBytes(const ChildProcess& aProcess)
{
  std::ifstream status("/proc/" + std::to_string(aProcess.Pid()) + "/status");
  std::string word;
  while (status >> word) {
    std::size_t kilobytes = 0;
    if (word == "VmHWM:" && status >> kilobytes) {
      return kilobytes << 10;
    }
  }
  return 0;
}

http::HttpRequest
RequestTo(const std::string& aService, http::ClientCallId aNumber)
{
  return {
    .mMethod = "POST",
    .mPath = "/v1/services/" + aService + "/requests",
    .mHeaders = { { "authorization", "Bearer " + std::string(kCustomerKey) },
                  { "accept", "application/json" },
                  { "idempotency-key", "endless-" + std::to_string(aNumber) },
                  { "x-deadline-ms", "8000" } },
    .mBody = R"({"prompt":"which feeders stop head 2?"})"
  };
}

/** Many callers at once, whose answers have no end. */
void
CheckEntryHolds(TestSystem& aSystem,
                const std::vector<const EndlessUpstream*>& aUpstreams,
                const std::string& aService)
{
  CallLog log;
  http::HttpClient client({ .mSilenceTimeout = seconds(20) }, log.Handler());
  for (http::ClientCallId call = 1; call <= kCallers; ++call) {
    client.Start(call, aSystem.Entry(kEntry), RequestTo(aService, call));
  }
  for (http::ClientCallId call = 1; call <= kCallers; ++call) {
    const CallOutcome outcome = log.WaitFor(call);
    INFO("expected each caller to be told of the failure, got "
         << (outcome.mHead ? outcome.mHead->mStatus : 0) << " "
         << outcome.mBody.substr(0, 200));
    CHECK((outcome.mHead && outcome.mHead->mStatus >= 500));
  }
  for (const EndlessUpstream* upstream : aUpstreams) {
    CHECK(upstream->Calls() > 0);
  }
  CHECK(aSystem.Process(kEntry).IsRunning());
  const std::size_t peak = PeakBytes(aSystem.Process(kEntry));
  INFO("the entry held " << peak << " bytes, expected at most " << kMachineBytes
                         << "; find out what holds them");
  CHECK(peak > 0);
  CHECK(peak <= kMachineBytes);
}

/** Starts a system whose entries have the memory of the smallest machines. */
void
StartSmall(TestSystem& aSystem)
{
  aSystem.Files().Replace(
    kEntry + ".yaml", "body: 1MiB,", "body: 1MiB, upstream_memory: 32MiB,");
  aSystem.Start();
}

std::vector<std::string>
OptionsOf(const EndlessUpstream& aUpstream)
{
  return { "--announce-as", aUpstream.Where(), "--slots", "256" };
}

std::string
BodyPart(const json::object& /*aCall*/, std::uint64_t /*aNumber*/)
{
  return std::string(kPartBytes, 'x');
}

std::string
Token(const json::object& aCall, std::uint64_t aNumber)
{
  const auto from = static_cast<std::uint64_t>(
    fakes::NumberOf(aCall, "from") + fakes::NumberOf(aCall, "resume_from"));
  return http::FormatSseEvent(
    { .mName = "token",
      .mData = json::serialize(
        json::object{ { "request", fakes::TextOf(aCall, "request") },
                      { "attempt", fakes::NumberOf(aCall, "attempt") },
                      { "index", from + aNumber },
                      { "text", std::string(kPartBytes, 'x') } }) });
}

} // namespace

// Guards against an entry that keeps what a faulty upstream sends until its
// memory is used up, and ends with the requests of all other callers.
TEST_CASE("EndlessServiceAnswersFillNoMemory")
{
  const std::string head = "HTTP/1.1 200 OK\r\n\r\n{\"result\":\"";
  TestSystem system;
  StartSmall(system);
  const EndlessUpstream first(head, BodyPart);
  const EndlessUpstream second(head, BodyPart);
  system.StartService("service-1", OptionsOf(first));
  system.StartService("service-2", OptionsOf(second));
  CheckEntryHolds(system, { &first, &second }, "floor-data");
}

TEST_CASE("EndlessTokensFillNoMemory")
{
  const std::string head =
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";
  TestSystem system;
  StartSmall(system);
  const EndlessUpstream first(head, Token);
  const EndlessUpstream second(head, Token);
  system.StartEngine("engine-1", OptionsOf(first));
  system.StartEngine("engine-2", OptionsOf(second));
  CheckEntryHolds(system, { &first, &second }, "assistant");
}

} // namespace peridotspool::test
