// ctest-labels: gateway promise-at-most-once
// Sound upstreams that fall silent for a second and go on.

#include "gateway/EntryGroup.h"

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace peridotspool::gateway {

namespace {

constexpr std::size_t kUpstreams = 3;
constexpr std::chrono::milliseconds kSilence{ 1200 };

Script
AnswerAfterSilence(const std::string&)
{
  std::this_thread::sleep_for(kSilence);
  return { .mAnswer = WholeAnswer("whole") };
}

/** As RequestText, from a caller that waits longer than the silence. */
std::string
PatientRequest(const std::string& aKind, const std::string& aId)
{
  std::string request = RequestText(aKind, aId);
  request.replace(request.find("X-Deadline: 1000"), 16, "X-Deadline: 1450");
  return request;
}

} // namespace

// Guards against an entry that gives up on silent upstreams, or takes itself
// for partitioned because all of them are silent.
TEST_CASE("UpstreamsThatAreSilentForASecondKeepTheirRequests")
{
  std::vector<std::unique_ptr<ScriptedUpstream>> upstreams;
  EntryGroup entries(3);
  for (std::size_t i = 0; i < kUpstreams; ++i) {
    upstreams.push_back(std::make_unique<ScriptedUpstream>(AnswerAfterSilence));
    entries.Add("u" + std::to_string(i), upstreams.back()->Where());
  }
  for (int round = 0; round < 2; ++round) {
    std::vector<std::unique_ptr<Caller>> callers;
    for (int i = 0; i < 6; ++i) {
      callers.push_back(std::make_unique<Caller>(entries.Entry(0).Where()));
      callers.back()->Send(
        PatientRequest(i % 2 == 0 ? "safe" : "once",
                       std::to_string(round) + "-" + std::to_string(i)));
    }
    for (const auto& caller : callers) {
      CHECK(StatusOf(caller->ReadAnswer()) == "HTTP/1.1 200");
    }
  }
  std::size_t arrived = 0;
  for (const auto& upstream : upstreams) {
    arrived += upstream->Requests().size();
  }
  INFO("expected each of 12 requests to be sent once");
  CHECK(arrived == 12);
  entries.Entry(0).OnRelay([&] {
    CHECK(entries.Entry(0).Core().mUpstreamPath.Path() ==
          routing::UpstreamPath::kDirect);
  });
}

} // namespace peridotspool::gateway
