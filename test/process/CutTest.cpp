// ctest-labels: promise-whole-own-answer promise-at-most-once unit
#include "fakes/support/UpstreamOptions.h"
#include "http/Eventually.h"
#include "process/StreamCaller.h"
#include "process/TestSystem.h"

#include <catch2/catch.hpp>

namespace peridotspool::test {

namespace {

constexpr std::chrono::seconds kPatience{ 30 };

/** Tells a relay to "cut", "heal" or "silence". */
void
Tell(TestSystem& aSystem, const std::string& aRelay, const std::string& aWhat)
{
  const auto control =
    fakes::ParseAddress(aSystem.Process(aRelay).PrintedValue("control"));
  const auto answer = aSystem.Client().Call(
    control.value(), { .mMethod = "POST", .mPath = "/" + aWhat });
  REQUIRE(answer);
  REQUIRE(answer->mStatus == 200);
}

/** Puts a relay before an entry's peer address; others connect through it. */
void
PutRelayBefore(TestSystem& aSystem, const std::string& aEntry)
{
  const auto& relay = aSystem.StartFake(
    "relay", "fake-relay", { "--to", aSystem.Files().Listen(aEntry, "peer") });
  const std::string file = aEntry + ".yaml";
  aSystem.Files().Write(file,
                        aSystem.Files().Read(file) + "advertise:\n  peer: " +
                          relay.PrintedValue("listening") + "\n");
}

} // namespace

TEST_CASE("EntryThatOthersCannotReachStopsNothing")
{
  // Symptom: requests stall while one entry hears nobody.
  // Sequence: all connections towards an entry are cut, or pass nothing for
  // good, while it streams an answer; its own connections go on working.
  // Cause: the others wait for its confirmations.
  const std::string how = GENERATE(std::string("cut"), std::string("silence"));
  TestSystem system;
  PutRelayBefore(system, "entryd-marousi");
  system.Start();
  system.StartEngine("engine-1");
  StreamCaller caller("half-cut", "fault 12", 150);
  caller.Connect(system.Entry("entryd-marousi"));
  caller.WaitForBytes(200);
  Tell(system, "relay", how);
  StreamCaller other("beside-the-cut", "fault 13", 30);
  const auto reachable = system.EntriesBut({ "entryd-marousi" });
  other.Connect(reachable[0]);
  other.FollowToEnd(reachable);
  other.RequireWholeAnswer();
  caller.FollowToEnd(reachable);
  caller.RequireWholeAnswer();
  Tell(system, "relay", "heal");
  CHECK(Eventually(
    [&] { return system.DirectoryOf("entryd-elefsina").size() == 4; },
    kPatience));
  StreamCaller after("after-the-cut", "fault 14", 10);
  after.Connect(system.Entry("entryd-marousi"));
  after.FollowToEnd({ system.Entry("entryd-marousi") });
  after.RequireWholeAnswer();
}

TEST_CASE("WrongPeerKeyIsRefused")
{
  // Symptom: a stranger on the network joins the system.
  // Sequence: an entry with another shared key starts.
  // Cause: peers take each other's word for who they are.
  TestSystem system;
  const std::string stranger = "entryd-elefsina";
  system.Files().Write("keys/other.key", "a key of somebody else entirely\n");
  system.Files().Replace(stranger + ".yaml", "keys/peer.key", "keys/other.key");
  system.StartControl();
  for (const std::string& name : EntryNames()) {
    system.StartOwn(name);
  }
  REQUIRE(
    Eventually([&] { return system.DirectoryOf("entryd-marousi").size() == 3; },
               kPatience));
  std::this_thread::sleep_for(std::chrono::seconds(2));
  const auto listed = system.DirectoryOf("entryd-marousi");
  CHECK(listed.size() == 3);
  CHECK(std::count(listed.begin(),
                   listed.end(),
                   system.Files().Listen(stranger, "http")) == 0);
  CHECK(system.DirectoryOf(stranger).empty());
  CHECK(system.Process(stranger).IsRunning());
}

} // namespace peridotspool::test
