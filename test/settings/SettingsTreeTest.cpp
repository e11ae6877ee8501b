// ctest-labels: unit promise-config
#include "peridotspool/settings/SettingsTree.h"
#include "peridotspool/settings/SettingsDiff.h"
#include "peridotspool/settings/SettingsEdit.h"

#include <catch2/catch.hpp>

namespace peridotspool::settings {

namespace {

constexpr const char* kTree = R"(# root
priorities: { urgent: 0, normal: 10 }
limits: { rate: 50/s, concurrency: 10 }
services:
  assistant:
    kind: model
    limits:
      rate: 20/s # a comment that stays
  orders:
    kind: plain
customers:
  small:
    key_hashes: [0000000000000000000000000000000000000000000000000000000000000001]
  large:
    key_hashes: [0000000000000000000000000000000000000000000000000000000000000002]
    weight: 4
    priority: urgent
    services:
      assistant:
        limits: { rate: 200/s }
)";

std::shared_ptr<const SettingsTree>
Parsed(const std::string& aText)
{
  SettingsErrors errors;
  auto tree = SettingsTree::Parse(aText, "t.yaml", errors);
  INFO(ToText(errors));
  REQUIRE(tree != nullptr);
  return tree;
}

EffectiveService
Effective(const SettingsTree& aTree,
          const char* aCustomer,
          const char* aService)
{
  const EffectiveService* found =
    aTree.Effective(CustomerName(aCustomer), ServiceName(aService));
  REQUIRE(found != nullptr);
  return *found;
}

} // namespace

TEST_CASE("NearestBranchOverridesAndTheRestIsInherited")
{
  const auto tree = Parsed(kTree);
  const EffectiveService small = Effective(*tree, "small", "assistant");
  CHECK(small.mLimits.mRatePerSecond == 20);
  CHECK(small.mLimits.mConcurrency == 10);
  CHECK(small.mPriority == 10);
  const EffectiveService large = Effective(*tree, "large", "assistant");
  CHECK(large.mLimits.mRatePerSecond == 200);
  CHECK(large.mLimits.mConcurrency == 10);
  CHECK(large.mPriority == 0);
  CHECK(large.mWeight == 4);
  CHECK(Effective(*tree, "large", "orders").mLimits.mRatePerSecond == 50);
}

TEST_CASE("UnknownCustomerOrServiceHasNoSettings")
{
  const auto tree = Parsed(kTree);
  CHECK(tree->Effective(CustomerName("other"), ServiceName("orders")) ==
        nullptr);
  CHECK(tree->Effective(CustomerName("small"), ServiceName("other")) ==
        nullptr);
}

TEST_CASE("ServiceMayNotBeRepeatedUnlessItSaysSo")
{
  CHECK_FALSE(Effective(*Parsed(kTree), "small", "orders").mIdempotent);
}

TEST_CASE("ValueAtSaysWhereAValueComesFrom")
{
  const auto tree = Parsed(kTree);
  CHECK(tree->ValueAt("customers.small.services.assistant.limits.rate") ==
        FoundValue{ "20/s", "services.assistant.limits.rate" });
  CHECK(tree->ValueAt("customers.small.limits.rate") ==
        FoundValue{ "50/s", "limits.rate" });
  CHECK(tree->ValueAt("services.orders.deadline.default") ==
        FoundValue{ "30s", "(default)" });
  CHECK_FALSE(tree->ValueAt("services.orders.deadline.defalt"));
  CHECK_FALSE(tree->ValueAt("services.other.deadline.default"));
  CHECK_FALSE(tree->ValueAt(""));
  CHECK_FALSE(tree->ValueAt("services..limits.rate"));
}

TEST_CASE("DiffNamesWhatWasAddedChangedAndRemoved")
{
  const auto before = Parsed(kTree);
  std::string text = kTree;
  text.replace(text.find("rate: 50/s"), 10, "rate: 60/s");
  text.replace(text.find("    weight: 4"), 13, "    retention: 1h");
  CHECK(Diff(*before, *Parsed(text)) ==
        std::vector<SettingsChange>{
          { "customers.large.retention", std::nullopt, "1h" },
          { "customers.large.weight", "4", std::nullopt },
          { "limits.rate", "50/s", "60/s" } });
  CHECK(Diff(*before, *before).empty());
}

TEST_CASE("SetValueChangesOneValueAndKeepsTheRest")
{
  SettingsErrors errors;
  const auto [path, value] = GENERATE(table<std::string, std::string>({
    { "services.assistant.limits.rate", "30/s" },
    { "services.assistant.limits.concurrency", "5" },
    { "services.orders.deadline.default", "7s" },
    { "customers.large.services.assistant.limits.rate", "9/s" },
    { "customers.large.services.assistant.limits.concurrency", "9" },
    { "customers.small.services.orders.targets.first_token", "1s" },
    { "limits.rate", "1/s" },
    { "weight", "2" },
    { "placement.prefer", "[north, south]" },
  }));
  const auto text = SetValue(kTree, path, value, errors);
  INFO(path << "\n" << ToText(errors));
  REQUIRE(text.has_value());
  INFO(*text);
  const auto changes = Diff(*Parsed(kTree), *Parsed(*text));
  REQUIRE(changes.size() == 1);
  CHECK(changes.front().mPath == path);
  CHECK(changes.front().mAfter == value);
  CHECK(text->find("# a comment that stays") != std::string::npos);
}

TEST_CASE("SetValueRefusesWhatWouldChangeMoreOrIsWrong")
{
  SettingsErrors errors;
  const auto [path, value] = GENERATE(table<std::string, std::string>({
    { "services.assistant.limits.rate", "30" },
    { "services.assistant.limits.rate", "30/s\n      concurrency: 7" },
    { "limits.rate", "30/s, concurrency: 7" },
    { "limits.rat", "30/s" },
    { "limits.rate", "" },
    { "services.other.limits.rate", "1/s" },
    { "weight", "2\nretention: 1h" },
  }));
  INFO(path << " = " << value);
  CHECK_FALSE(SetValue(kTree, path, value, errors));
  CHECK_FALSE(errors.empty());
}

} // namespace peridotspool::settings
