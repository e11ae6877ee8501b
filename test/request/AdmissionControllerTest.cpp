// ctest-labels: unit promise-refusal-did-not-run
#include "request/AdmissionController.h"

#include <catch2/catch.hpp>

namespace peridotspool::request {

namespace {

const CustomerName kLarge("aspida");
const ServiceName kService("assistant");
const TimePoint kNow{ std::chrono::hours(1) };

AdmissionController::Tree
TreeWithLimits(const std::string& aRate, const std::string& aConcurrency)
{
  const std::string text =
    "services:\n  assistant: { kind: model, idempotent: true }\n"
    "customers:\n  aspida:\n    key_hashes: [" +
    std::string(64, 'a') + "]\n    limits: { rate: " + aRate +
    ", concurrency: " + aConcurrency + " }\n";
  settings::SettingsErrors errors;
  auto tree = settings::SettingsTree::Parse(text, "test", errors);
  INFO(settings::ToText(errors));
  REQUIRE(tree != nullptr);
  return tree;
}

routing::AdmissionOutcome
Admit(AdmissionController& aController,
      const std::string& aKey,
      TimePoint aNow = kNow)
{
  return aController.Admit(
    kService,
    { .mKey = { kLarge, aKey }, .mDeadline = aNow + std::chrono::seconds(30) },
    aNow);
}

} // namespace

TEST_CASE("DemandOfOtherEntriesLeavesThisEntryItsShare")
{
  // Guards against refusing the first requests as over the limit although
  // hardly any run: another entry publishes its demand, and a request arrives
  // here before this entry has published any. If only the published demand
  // counted, this entry's share would be zero.
  AdmissionController controller(MemberId(1), {});
  controller.SetSettings(TreeWithLimits("100/s", "100"));
  controller.SetMembers({ MemberId(1), MemberId(2) });
  REQUIRE(std::holds_alternative<routing::Admitted>(Admit(controller, "a")));
  controller.RecordDemand(MemberId(2), kService, { { kLarge, 50.0 } }, kNow);
  const TimePoint later = kNow + std::chrono::seconds(10);
  CHECK(
    std::holds_alternative<routing::Admitted>(Admit(controller, "b", later)));
}

TEST_CASE("CustomerOverItsTotalIsRefusedWithinItsServiceLimits")
{
  // Guards against exceeding a customer's total through several services: with
  // a total concurrency of one, a running request at one service must make the
  // other service refuse. Each service's own limit bounds only its requests.
  const std::string text =
    "services:\n  assistant: { kind: model, idempotent: true }\n"
    "  floor-data: { kind: plain, idempotent: false }\n"
    "customers:\n  aspida:\n    key_hashes: [" +
    std::string(64, 'a') +
    "]\n    limits: { rate: 100/s, concurrency: 10 }\n"
    "    total: { rate: 100/s, concurrency: 1 }\n";
  settings::SettingsErrors errors;
  auto tree = settings::SettingsTree::Parse(text, "test", errors);
  INFO(settings::ToText(errors));
  REQUIRE(tree != nullptr);
  AdmissionController controller(MemberId(1), {});
  controller.SetSettings(tree);
  REQUIRE(std::holds_alternative<routing::Admitted>(Admit(controller, "a")));
  const auto admit = [&] {
    return controller.Admit(
      ServiceName("floor-data"),
      { .mKey = { kLarge, "b" }, .mDeadline = kNow + std::chrono::seconds(5) },
      kNow);
  };
  CHECK(std::holds_alternative<routing::Refused>(admit()));
  controller.RecordEnd(kService, kLarge, std::chrono::seconds(1));
  CHECK(std::holds_alternative<routing::Admitted>(admit()));
}

TEST_CASE("EveryRequestIsAdmittedWithoutSettings")
{
  AdmissionController controller(MemberId(1), {});
  CHECK(std::holds_alternative<routing::Admitted>(Admit(controller, "a")));
}

TEST_CASE("CustomerOverItsConcurrencyIsRefusedAtOnceWithRetryAfter")
{
  AdmissionController controller(MemberId(1), {});
  controller.SetSettings(TreeWithLimits("100/s", "1"));
  REQUIRE(std::holds_alternative<routing::Admitted>(Admit(controller, "a")));
  const auto outcome = Admit(controller, "b");
  const auto* refused = std::get_if<routing::Refused>(&outcome);
  REQUIRE(refused != nullptr);
  CHECK(refused->mReason == routing::AdmissionReason::kConcurrencyLimit);
  CHECK(refused->mRetryAfter > Duration(0));
  controller.RecordEnd(kService, kLarge, std::chrono::seconds(1));
  CHECK(std::holds_alternative<routing::Admitted>(Admit(controller, "c")));
}

} // namespace peridotspool::request
