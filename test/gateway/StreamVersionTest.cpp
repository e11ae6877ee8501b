// ctest-labels: promise-whole-own-answer
#include "gateway/UpstreamLink.h"
#include "gateway/VersionedUpstreams.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

namespace peridotspool::gateway {

namespace {

constexpr std::size_t kEntries = 3;
constexpr int kStreams = 24;
constexpr int kUpstreamsEach = 2;
constexpr Duration kLongContact = std::chrono::seconds(90);

/** Tells an entry that there are no rollouts. */
void
LearnRollouts(GatewayFixture& aEntry)
{
  aEntry.OnRelay([&] {
    aEntry.Core().mRollouts.ApplyUpdate(
      { .mTerm = 1, .mSequence = 1, .mNumber = 1 }, aEntry.Core().mNow());
  });
}

/** Returns a request to resume a stream that it doesn't name. */
std::string
ResumeWithoutName(const std::string& aId)
{
  std::string request = StreamRequest(aId, "unused");
  const std::string name = "X-Resumes: unused\r\n";
  return request.erase(request.find(name), name.size());
}

/** Begins the stream a1 at an upstream of v1, and leaves it. */
void
BeginStream(EntryGroup& aGroup)
{
  Caller caller(aGroup.Entry(0).Where());
  caller.Send(StreamRequest("a1"));
  REQUIRE(VersionsIn(caller.ReadTo("id: 2")).front() == "v1");
}

/** Checks that each entry refuses to resume the stream that a1 began. */
void
CheckNotResumed(EntryGroup& aGroup, bool aIsNamed)
{
  // The group's control confirms the epoch every 50 ms.
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  for (std::size_t i = 0; i < aGroup.Size(); ++i) {
    LearnRollouts(aGroup.Entry(i));
    const std::string id = "b" + std::to_string(i);
    Caller caller(aGroup.Entry(i).Where());
    caller.Send(aIsNamed ? StreamRequest(id, "a1") : ResumeWithoutName(id));
    const std::string answer = caller.ReadAnswer();
    CHECK(StatusOf(answer) == "HTTP/1.1 503");
    CHECK(VersionsIn(answer).empty());
  }
}

std::size_t
ResumedRuns(const VersionedUpstreams& aUpstreams)
{
  const auto runs = aUpstreams.Runs();
  return static_cast<std::size_t>(
    std::count_if(runs.begin(), runs.end(), [](const VersionedRun& aRun) {
      return !aRun.mLastEvent.empty();
    }));
}

/** Entries before upstreams of two versions, neither ordered by a rollout. */
class TwoVersions
{
public:
  explicit TwoVersions(VersionedUpstreams::Then aThen)
    : mUpstreams(aThen)
    , mGroup(kEntries)
  {
    for (std::size_t i = 0; i < mGroup.Size(); ++i) {
      LearnRollouts(mGroup.Entry(i));
    }
    for (int i = 0; i < kUpstreamsEach; ++i) {
      mUpstreams.Add(mGroup, "old" + std::to_string(i), "v1");
      mUpstreams.Add(mGroup, "new" + std::to_string(i), "v2");
    }
  }

  Address Entry(int aNumber)
  {
    return mGroup.Entry(static_cast<std::size_t>(aNumber) % kEntries).Where();
  }

private:
  VersionedUpstreams mUpstreams;
  EntryGroup mGroup;
};

const Address kCoordinator{ "10.0.0.1", 7000 };

/** Sends an event, and breaks the stream off after it. */
Script
BreakOff(const std::string& /*aRequest*/)
{
  return { .mAnswer = "HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Stamp: proof\r\n"
                      "Content-Type: text/event-stream\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n"
                      "11\r\nid: 1\ndata: one\n\n\r\n",
           .mThen = Script::Then::kReset };
}

/** Makes the coordinator report full upstreams, and free ones from the second
 * query on. */
void
RespondFullAndThenFree(GatewayFixture& aGateway)
{
  GatewayCore& core = aGateway.Core();
  core.mCoordinators.Set({ { .mAddress = kCoordinator, .mDomain = {} } });
  core.mSendToEntry =
    [&core, queries = 0](const Address&, const PeerMessage& aMessage) mutable {
      const auto* query = std::get_if<LoadQuery>(&aMessage);
      if (query == nullptr) {
        return;
      }
      const bool isFull = queries++ == 0;
      LoadResponse response{ .mTag = query->mTag, .mLoads = {} };
      for (const char* name : { "old", "new" }) {
        response.mLoads.push_back({ .mUpstream = UpstreamName(name),
                                    .mWaitUs = isFull ? 5000000U : 0U,
                                    .mRunning = isFull ? 8U : 0U });
      }
      http::net::post(core.mIo,
                      [&core, response] { core.HandleLoadResponse(response); });
    };
}

} // namespace

// Guards against streams whose caller takes them up at another entry and gets
// the rest from another software version.
TEST_CASE("AStreamThatItsCallerTakesUpGoesOnAtItsVersion")
{
  TwoVersions system(VersionedUpstreams::Then::kWait);
  std::set<std::string> begunAt;
  for (int i = 0; i < kStreams; ++i) {
    const std::string id = "a" + std::to_string(i);
    Caller first(system.Entry(i));
    first.Send(StreamRequest(id));
    std::string events = first.ReadTo("id: 2");
    events += first.ReadTo("\n\n");
    const auto begun = VersionsIn(events);
    first.Close();
    INFO("stream " << id);
    REQUIRE(begun.size() == 2);
    begunAt.insert(begun.front());

    Caller second(system.Entry(i + 1));
    second.Send(StreamRequest("b" + std::to_string(i), id));
    const std::string rest = second.ReadAnswer();
    CHECK(StatusOf(rest) == "HTTP/1.1 200");
    CHECK(VersionsIn(rest) == std::vector<std::string>(2, begun.front()));
  }
  CHECK(begunAt.size() == 2);
}

// Guards against callers without a name for their stream that get the rest from
// another version, and against their refusal where there is one version.
TEST_CASE("AStreamWithoutANameGoesOnOnlyWhileThereIsASingleVersion")
{
  const bool hasTwoVersions = GENERATE(true, false);
  VersionedUpstreams upstreams(VersionedUpstreams::Then::kWait);
  EntryGroup group(kEntries, kLongContact);
  upstreams.Add(group, "old", "v1");
  upstreams.Add(group, "other", hasTwoVersions ? "v2" : "v1");
  for (std::size_t i = 0; i < group.Size(); ++i) {
    LearnRollouts(group.Entry(i));
  }
  Caller caller(group.Entry(0).Where());
  // The group's control confirms the epoch every 50 ms.
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  caller.Send(ResumeWithoutName("b1"));
  CHECK(StatusOf(caller.ReadAnswer()) ==
        (hasTwoVersions ? "HTTP/1.1 503" : "HTTP/1.1 200"));
}

// Guards against streams that are joined from two versions after all entries
// were lost at once: those that come back know only the version that is there
// now.
TEST_CASE("AStreamGoesOnNowhereAfterAllThatKnewItsVersionAreGone")
{
  const bool isNamed = GENERATE(true, false);
  CAPTURE(isNamed);
  VersionedUpstreams upstreams(VersionedUpstreams::Then::kWait);
  {
    EntryGroup before(kEntries, kLongContact);
    upstreams.Add(before, "old", "v1");
    BeginStream(before);
  }
  EntryGroup after(kEntries);
  upstreams.Add(after, "new", "v2");
  CheckNotResumed(after, isNamed);
  CHECK(ResumedRuns(upstreams) == 0);
}

// Guards against streams that are joined from two versions by an entry that has
// just started and knows only part of the upstreams yet.
TEST_CASE("AStreamGoesOnNowhereWhereOnlyPartOfTheUpstreamsIsKnownYet")
{
  const bool isNamed = GENERATE(true, false);
  CAPTURE(isNamed);
  VersionedUpstreams upstreams(VersionedUpstreams::Then::kWait);
  EntryGroup others(kEntries, kLongContact);
  upstreams.Add(others, "old", "v1");
  BeginStream(others);
  EntryGroup started(1);
  upstreams.Add(started, "new", "v2");
  CheckNotResumed(started, isNamed);
  CHECK(ResumedRuns(upstreams) == 0);
}

// Guards against streams that are joined from two versions by an entry that was
// cut off for long and is in contact again.
TEST_CASE("AStreamWithoutANameGoesOnNowhereAfterALongLossOfContact")
{
  VersionedUpstreams upstreams(VersionedUpstreams::Then::kWait);
  EntryGroup group(1, kLongContact);
  upstreams.Add(group, "new", "v2");
  group.Entry(0).OnRelay([&] {
    GatewayCore& core = group.Entry(0).Core();
    core.mContact = {};
    core.mContact.RecordConfirmation(core.mNow() - std::chrono::seconds(90));
    core.mContact.RecordConfirmation(core.mNow() - std::chrono::seconds(30));
  });
  CheckNotResumed(group, false);
  CHECK(ResumedRuns(upstreams) == 0);
}

// Guards against streams that are joined from two versions by an entry that is
// out of step for a moment: it has not been told yet of the version that began
// the stream, and nothing tells it that it hasn't.
TEST_CASE("AStreamWithoutANameGoesOnNowhereAtAnEntryThatIsOutOfStep")
{
  const bool isCutOff = GENERATE(true, false);
  CAPTURE(isCutOff);
  VersionedUpstreams upstreams(VersionedUpstreams::Then::kWait);
  EntryGroup group(kEntries, kLongContact);
  upstreams.Add(group, "old", "v1");
  upstreams.Add(group, "new", "v2");
  GatewayFixture& stale = group.Entry(2);
  LearnRollouts(stale);
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  stale.OnRelay([&] {
    GatewayCore& core = stale.Core();
    core.mSelector.Update(UpstreamName("new"), nullptr, core.mNow());
    if (isCutOff) {
      core.mSendToEntry = [](const Address&, const PeerMessage&) {};
    }
  });
  Caller caller(stale.Where());
  caller.Send(ResumeWithoutName("b1"));
  const std::string answer = caller.ReadAnswer();
  CHECK(StatusOf(answer) == "HTTP/1.1 503");
  CHECK(VersionsIn(answer).empty());
  CHECK(ResumedRuns(upstreams) == 0);
}

// Guards against streams that an entry resumes at another software version
// within one response.
TEST_CASE("AStreamThatItsUpstreamBreaksOffGoesOnAtItsVersion")
{
  TwoVersions system(VersionedUpstreams::Then::kReset);
  std::set<std::string> begunAt;
  for (int i = 0; i < kStreams; ++i) {
    Caller caller(system.Entry(i));
    caller.Send(StreamRequest("a" + std::to_string(i)));
    const auto versions = VersionsIn(caller.ReadAnswer());
    INFO("stream " << i);
    REQUIRE(!versions.empty());
    CHECK(versions == std::vector<std::string>(4, versions.front()));
    begunAt.insert(versions.front());
    // Ejections of the upstreams that broke off have ended.
    std::this_thread::sleep_for(std::chrono::milliseconds(60));
  }
  CHECK(begunAt.size() == 2);
}

// Guards against streams of two versions at an entry whose connections others
// relay.
TEST_CASE("AStreamGoesOnAtItsVersionThroughATunnel")
{
  VersionedUpstreams upstreams(VersionedUpstreams::Then::kWait);
  EntryGroup group(kEntries);
  std::vector<std::unique_ptr<UpstreamLink>> links;
  for (const char* name : { "old", "new" }) {
    const std::string version = name == std::string("old") ? "v1" : "v2";
    upstreams.Add(group, name, version);
    links.push_back(
      std::make_unique<UpstreamLink>(upstreams.Where(links.size())));
    group.Entry(0).Add(name, links.back()->Where(), version);
    links.back()->Set(LinkState::kReset);
  }
  for (std::size_t i = 0; i < kEntries; ++i) {
    LearnRollouts(group.Entry(i));
  }
  REQUIRE(Eventually([&] {
    Caller caller(group.Entry(0).Where());
    caller.Send(StreamRequest("w"));
    return StatusOf(caller.ReadTo("\n\n")) == "HTTP/1.1 200";
  }));
  for (int i = 0; i < kStreams / 2; ++i) {
    const std::string id = "a" + std::to_string(i);
    Caller first(group.Entry(1).Where());
    first.Send(StreamRequest(id));
    const auto begun = VersionsIn(first.ReadTo("\n\n") + "\n");
    first.Close();
    REQUIRE(begun.size() == 1);
    Caller second(group.Entry(0).Where());
    second.Send(StreamRequest("b" + std::to_string(i), id));
    INFO("stream " << id);
    CHECK(VersionsIn(second.ReadAnswer()) ==
          std::vector<std::string>(2, begun.front()));
  }
}

// Guards against streams that go on where an upstream was upgraded in place
// before the entry has heard of it.
TEST_CASE("AStreamOfAnUpstreamThatIsUpgradedMeanwhileGoesOnNowhere")
{
  const bool isTakenUp = GENERATE(true, false);
  GatewayFixture gateway;
  Address upgradedAt;
  ScriptedUpstream upgraded([&](const std::string& aRequest) {
    gateway.Add("upgraded", upgradedAt, "v2");
    return BreakOff(aRequest);
  });
  upgradedAt = upgraded.Where();
  LearnRollouts(gateway);
  gateway.Add("upgraded", upgradedAt, "v1");
  gateway.OnRelay([&] {
    gateway.Core().mOrigins.Record(
      streams::StreamKeyOf(CustomerName(), "a1"),
      { .mService = ServiceName("s"), .mVersion = VersionName("v1") },
      std::chrono::seconds(60),
      {});
  });
  Caller caller(gateway.Where());
  caller.Send(StreamRequest("b1", isTakenUp ? "a1" : ""));
  const std::string answer = caller.ReadAnswer();
  CHECK((answer.find("data: one") == std::string::npos) == isTakenUp);
  CHECK(answer.find("\r\n0\r\n\r\n") == std::string::npos);
  CHECK(upgraded.Requests().size() == 1);
}

// Guards against a retry that keeps the versions of a selection that was made
// before the stream began.
TEST_CASE("AStreamKeepsItsVersionAfterASecondSelectionOfItsUpstream")
{
  ScriptedUpstream old(BreakOff);
  ScriptedUpstream upgraded(BreakOff);
  GatewayFixture gateway;
  LearnRollouts(gateway);
  gateway.OnRelay([&] { RespondFullAndThenFree(gateway); });
  gateway.Add("old", old.Where(), "v1");
  gateway.Add("new", upgraded.Where(), "v2");
  Caller caller(gateway.Where());
  std::string request = RequestText("draft", "r1");
  request.insert(request.find("\r\n") + 2, "X-Prefix: aa:12000,bb:3000\r\n");
  caller.Send(request);
  CHECK(StatusOf(caller.ReadAll()) == "HTTP/1.1 200");
  CHECK(old.Requests().size() + upgraded.Requests().size() == 1);
}

} // namespace peridotspool::gateway
