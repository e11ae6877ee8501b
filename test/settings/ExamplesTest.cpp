// ctest-labels: unit promise-config
#include "peridotspool/settings/KeyHash.h"
#include "peridotspool/settings/ProcessSettings.h"
#include "peridotspool/settings/SettingsTree.h"

#include "support/TextOf.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <set>

namespace peridotspool::settings {

namespace {

const std::filesystem::path kExamples =
  std::filesystem::path(PERIDOTSPOOL_SOURCE_DIR) / "examples";

std::shared_ptr<const SettingsTree>
TreeOf(const std::string& aCompany)
{
  SettingsErrors errors;
  auto tree = SettingsTree::Parse(
    TextOf(kExamples / aCompany / "settings.yaml"), "settings.yaml", errors);
  INFO(ToText(errors));
  REQUIRE(tree != nullptr);
  return tree;
}

std::vector<ProcessSettings>
ProcessesOf(const std::string& aCompany,
            const std::string& aPrefix,
            ProcessRole aRole)
{
  std::vector<ProcessSettings> found;
  for (const auto& file :
       std::filesystem::directory_iterator(kExamples / aCompany)) {
    const std::string name = file.path().filename();
    if (name.starts_with(aPrefix)) {
      SettingsErrors errors;
      const auto settings =
        ParseProcessSettings(TextOf(file.path()), name, aRole, errors);
      INFO(ToText(errors));
      REQUIRE(settings.has_value());
      found.push_back(*settings);
    }
  }
  return found;
}

} // namespace

TEST_CASE("EveryExampleProcessFileIsAccepted")
{
  const std::string company = GENERATE("lefkada", "kilimanjaro");
  const auto entries = ProcessesOf(company, "entryd-", ProcessRole::kEntry);
  const auto controls =
    ProcessesOf(company, "controld-", ProcessRole::kControl);
  CHECK(entries.size() == 4);
  CHECK(controls.size() == 3);
  std::set<FailureDomain> domains;
  for (const ProcessSettings& entry : entries) {
    domains.insert(entry.mDomain);
    CHECK(entry.mControlReplicas.size() == 3);
  }
  CHECK(domains.size() == 4);
  for (const ProcessSettings& control : controls) {
    INFO("replica " << control.mReplica.Value());
    const ControlReplica& listed =
      control.mControlReplicas.at(control.mReplica.Value() - 1);
    CHECK(listed.mPeerAddress == control.mPeerListen);
    CHECK(listed.mHttpAddress == control.mHttpListen);
  }
}

TEST_CASE("ExampleTreesHaveFiveCustomersAndTwoServices")
{
  const std::string company = GENERATE("lefkada", "kilimanjaro");
  const auto tree = TreeOf(company);
  CHECK(tree->Customers().size() == 5);
  CHECK(tree->Services().size() == 2);
  for (const CustomerName& customer : tree->Customers()) {
    const std::string key = "demo-" + company + "-" + customer.Value();
    INFO("the demonstration key named in the file's comment: " << key);
    CHECK(tree->CustomerOfKeyHash(KeyHash(key)) == customer);
  }
}

TEST_CASE("LefkadaWeighsLatencyAndKilimanjaroCost")
{
  const auto lefkada = TreeOf("lefkada");
  const auto kilimanjaro = TreeOf("kilimanjaro");
  const EffectiveService* assistant =
    lefkada->Effective(CustomerName("aspida-boards"), ServiceName("assistant"));
  const EffectiveService* model =
    kilimanjaro->Effective(CustomerName("depot-crews"), ServiceName("model"));
  REQUIRE(assistant != nullptr);
  REQUIRE(model != nullptr);
  CHECK(assistant->mLatencyWeight > assistant->mCostWeight);
  CHECK(model->mCostWeight > model->mLatencyWeight);
  CHECK(assistant->mFirstTokenTarget == std::chrono::milliseconds(440));
  CHECK(assistant->mLimits.mRatePerSecond == 80);
  CHECK(assistant->mLimits.mConcurrency == 320);
}

TEST_CASE("ServicesOfOrdersMayNotBeRepeated")
{
  CHECK_FALSE(
    TreeOf("lefkada")->Service(ServiceName("floor-data"))->mIdempotent);
  CHECK_FALSE(
    TreeOf("kilimanjaro")->Service(ServiceName("crew-jobs"))->mIdempotent);
}

} // namespace peridotspool::settings
