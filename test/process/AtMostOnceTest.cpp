// ctest-labels: promise-at-most-once promise-refusal-did-not-run
#include "fakes/support/Answers.h"
#include "http/CallLog.h"
#include "process/TestSystem.h"

#include <catch2/catch.hpp>

namespace peridotspool::test {

using fakes::ParseObject;
using fakes::TextOf;

namespace {

http::HttpRequest
RepasteOrder(const std::string& aKey)
{
  return { .mMethod = "POST",
           .mPath = "/v1/services/floor-data/requests",
           .mHeaders = { { "authorization",
                           "Bearer " + std::string(kCustomerKey) },
                         { "accept", "application/json" },
                         { "idempotency-key", aKey },
                         { "x-idempotent", "false" },
                         { "x-deadline-ms", "15000" } },
           .mBody = R"({"order":"repaste","panel":17})" };
}

} // namespace

TEST_CASE("CallRetriedThroughThreeEntriesAtOnceRunsOnce")
{
  // Symptom: two teams are sent to the same hoarding.
  // Sequence: a caller that got no answer yet sends the same order through
  // three entries at the same time.
  // Cause: each entry decides by itself that the order is new.
  TestSystem system;
  system.Start();
  system.StartService("service-1", { "--first-token-ms", "300" });
  system.StartService("service-2", { "--first-token-ms", "300" });
  CallLog log;
  http::HttpClient client({ .mSilenceTimeout = std::chrono::seconds(20) },
                          log.Handler());
  constexpr http::ClientCallId kOrders = 10;
  constexpr http::ClientCallId kEntries = 3;
  for (http::ClientCallId order = 0; order < kOrders; ++order) {
    for (http::ClientCallId at = 0; at < kEntries; ++at) {
      client.Start(order * kEntries + at + 1,
                   system.Entry(EntryNames()[at]),
                   RepasteOrder("repaste-" + std::to_string(order) + "."));
    }
  }
  for (http::ClientCallId order = 0; order < kOrders; ++order) {
    const std::string key = "repaste-" + std::to_string(order) + ".";
    std::set<std::string> tickets;
    for (http::ClientCallId at = 0; at < kEntries; ++at) {
      const CallOutcome outcome = log.WaitFor(order * kEntries + at + 1);
      INFO(key << " at " << EntryNames()[at] << ": " << outcome.mBody);
      REQUIRE(outcome.mHead);
      CHECK(outcome.mHead->mStatus == 200);
      const auto answer = ParseObject(outcome.mBody).value_or(json::object());
      const json::value* result = answer.if_contains("result");
      tickets.insert(result != nullptr ? json::serialize(*result) : "none");
    }
    INFO(key << " must run once and be answered alike");
    CHECK(system.Noted("start", key).size() == 1);
    CHECK(tickets.size() == 1);
  }
}

TEST_CASE("CallWhoseEntryIsKilledRunsAtMostOnce")
{
  // Symptom: a repaste order runs twice.
  // Sequence: an entry has sent the call to the service and is killed; the
  // caller sends the same order through the others.
  // Cause: the successor can't know that the call was sent, and sends it again.
  TestSystem system;
  system.Start();
  system.StartService("service-1", { "--first-token-ms", "500" });
  system.StartService("service-2", { "--first-token-ms", "500" });
  CallLog log;
  http::HttpClient client({ .mSilenceTimeout = std::chrono::seconds(30) },
                          log.Handler());
  const std::string first = EntryNames()[0];
  client.Start(1, system.Entry(first), RepasteOrder("killed-order"));
  REQUIRE(
    Eventually([&] { return !system.Noted("start", "killed-order").empty(); }));
  system.Process(first).Kill();
  for (http::ClientCallId at = 1; at < EntryNames().size(); ++at) {
    client.Start(
      at + 1, system.Entry(EntryNames()[at]), RepasteOrder("killed-order"));
  }
  for (http::ClientCallId at = 1; at < EntryNames().size(); ++at) {
    Eventually([&] { return log.Of(at + 1).Ended(); },
               std::chrono::seconds(30));
    const CallOutcome outcome = log.Of(at + 1);
    INFO("through " << EntryNames()[at] << ": " << outcome.mBody);
    REQUIRE(outcome.mDone);
    const auto answer = ParseObject(outcome.mBody).value_or(json::object());
    // Its end is known, or may not be known; but it is never said not to have
    // run, for it did.
    CHECK(TextOf(answer, "ran") != "no");
  }
  CHECK(system.Noted("start", "killed-order").size() == 1);
}

TEST_CASE("RefusedCallDidNotRun")
{
  // Symptom: an order that was refused is carried out all the same.
  // Sequence: the service turns some calls away before running them; the
  // caller is told of a refusal that did not run.
  // Cause: another attempt still goes on, or is made later.
  TestSystem system;
  system.Start();
  system.StartService("service-1", { "--fail-rate", "0.9" });
  std::vector<std::string> refused;
  int answered = 0;
  for (int order = 0; order < 12; ++order) {
    const std::string key = "maybe-refused-" + std::to_string(order) + ".";
    const auto answer =
      system.Client().Call(system.Entry(EntryNames()[order % 4]),
                           RepasteOrder(key),
                           std::chrono::seconds(20));
    REQUIRE(answer);
    const auto body = ParseObject(answer->mBody).value_or(json::object());
    INFO(key << ": " << answer->mStatus << " " << answer->mBody);
    if (answer->mStatus == 200) {
      ++answered;
      CHECK(system.Noted("start", key).size() == 1);
    } else if (TextOf(body, "ran") == "no") {
      refused.push_back(key);
    }
  }
  INFO(answered << " were answered");
  CHECK_FALSE(refused.empty());
  std::this_thread::sleep_for(std::chrono::seconds(2));
  for (const std::string& key : refused) {
    INFO(key << " was refused as not run");
    CHECK(system.Noted("start", key).empty());
  }
}

} // namespace peridotspool::test
