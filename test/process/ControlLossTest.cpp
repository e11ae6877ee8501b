// ctest-labels: promise-state-survives promise-config
#include "http/Eventually.h"
#include "process/StreamCaller.h"
#include "process/TestSystem.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>

namespace peridotspool::test {

using fakes::NumberOf;
using fakes::TextOf;

namespace {

constexpr std::chrono::seconds kPatience{ 30 };

/** The example's settings with another weight, so that edits differ. */
std::string
SettingsWithLatencyWeight(int aWeight)
{
  std::string text = ExampleText("settings.yaml");
  const std::string old = "latency: 8";
  text.replace(
    text.find(old), old.size(), "latency: " + std::to_string(aWeight));
  return text;
}

/** Returns true once all entries that shall run have the revision. */
bool
IsInForce(TestSystem& aSystem, std::int64_t aRevision)
{
  return Eventually(
    [&] {
      return std::all_of(
        EntryNames().begin(), EntryNames().end(), [&](const auto& aName) {
          const auto status = aSystem.Status(aName);
          return status && NumberOf(*status, "revision") == aRevision;
        });
    },
    kPatience);
}

/** Returns the id of the replica that has a name now, or 0. */
std::int64_t
ReplicaNamed(TestSystem& aSystem, const std::string& aName, bool& aIsVoter)
{
  const auto status = aSystem.Status(aSystem.WaitForLeader());
  const json::value* replicas =
    status ? status->if_contains("replicas") : nullptr;
  if (replicas == nullptr) {
    return 0;
  }
  for (const json::value& replica : replicas->as_array()) {
    if (TextOf(replica.as_object(), "name") == aName) {
      aIsVoter = replica.at("voter").as_bool();
      return NumberOf(replica.as_object(), "id");
    }
  }
  return 0;
}

} // namespace

TEST_CASE("KilledLeaderLosesNoEditAndIsReplaced")
{
  // Symptom: an accepted edit is gone after a machine is lost.
  // Sequence: an edit is answered as committed; the leader is killed; the
  // operator, unsure, sends the same edit again and then another one.
  // Cause: the edit was answered before others held it on disk.
  TestSystem system;
  system.Start();
  const json::object first =
    system.PutSettings("edit-2", 1, SettingsWithLatencyWeight(9));
  REQUIRE(NumberOf(first, "revision") == 2);
  const std::string leader = system.WaitForLeader();
  system.Process(leader).Kill();
  const json::object again =
    system.PutSettings("edit-2", 1, SettingsWithLatencyWeight(9));
  INFO(json::serialize(again));
  CHECK(NumberOf(again, "revision") == 2);
  const json::object next =
    system.PutSettings("edit-3", 2, SettingsWithLatencyWeight(10));
  INFO(json::serialize(next));
  CHECK(NumberOf(next, "revision") == 3);
  CHECK(IsInForce(system, 3));
  system.StartOwn(leader);
  CHECK(Eventually(
    [&] {
      const auto status = system.Status(leader);
      return status && NumberOf(*status, "revision") == 3;
    },
    kPatience));
}

TEST_CASE("RequestsGoOnWhileNoControlReplicaRuns")
{
  TestSystem system;
  system.Start();
  system.StartEngine("engine-1");
  for (const std::string& name : ControlNames()) {
    system.Process(name).Kill();
  }
  StreamCaller caller("without-control", "fault 7", 20);
  caller.Connect(system.Entry("entryd-marousi"));
  caller.FollowToEnd(system.EntriesBut({}));
  caller.RequireWholeAnswer();
}

TEST_CASE("ReplicaWithoutItsDiskComesBackAsANewOne")
{
  // Symptom: two histories of settings, after a disk was replaced.
  // Sequence: a replica's data folder is removed; it starts with an empty one.
  // Cause: it votes under its old identity, having forgotten its votes.
  TestSystem system;
  system.Start();
  const std::string lost = system.WaitForLeader();
  const std::string name = "control-" + lost.substr(9);
  bool isVoter = false;
  const std::int64_t oldId = ReplicaNamed(system, name, isVoter);
  const std::string folder =
    "data/control-" +
    std::to_string(
      1 + std::distance(
            ControlNames().begin(),
            std::find(ControlNames().begin(), ControlNames().end(), lost)));
  system.Process(lost).Kill();
  REQUIRE(std::filesystem::remove_all(system.Files().At(folder)) > 0);
  const json::object edit =
    system.PutSettings("edit-2", 1, SettingsWithLatencyWeight(9));
  REQUIRE(NumberOf(edit, "revision") == 2);
  system.StartOwn(lost);
  std::int64_t newId = 0;
  CHECK(Eventually(
    [&] {
      newId = ReplicaNamed(system, name, isVoter);
      return newId != oldId && newId != 0 && isVoter;
    },
    kPatience));
  INFO("replica " << oldId << " came back as " << newId);
  CHECK(newId > oldId);
  CHECK(IsInForce(system, 2));
}

TEST_CASE("RacingEditsHaveOneWinner")
{
  TestSystem system;
  system.Start();
  const json::object one =
    system.PutSettings("edit-a", 1, SettingsWithLatencyWeight(9));
  const json::object other =
    system.PutSettings("edit-b", 1, SettingsWithLatencyWeight(10));
  INFO(json::serialize(one) << " " << json::serialize(other));
  CHECK(NumberOf(one, "revision") == 2);
  CHECK(TextOf(other, "verdict") == "kConflict");
}

} // namespace peridotspool::test
