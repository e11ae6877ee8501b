// ctest-labels: gateway limits
// Upstreams whose responses ask an entry to send them nothing.

#include "gateway/EntryGroup.h"
#include "gateway/UpstreamLink.h"
#include "peridotspool/runtime/SystemClock.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

namespace peridotspool::gateway {

namespace {

using std::chrono::milliseconds;

/** Requests that were under way may arrive for this long after a rest is asked
 * for. */
constexpr milliseconds kGrace{ 500 };
/** Requests that may arrive after that and before the end of the rest. */
constexpr std::size_t kMaxArrivals = 2;
constexpr int kCalls = 100;
constexpr milliseconds kCallPeriod{ 25 };

std::string
WithField(std::string aAnswer, const std::string& aField)
{
  return aAnswer.insert(aAnswer.find("\r\n") + 2, aField + "\r\n");
}

std::string
EventStream()
{
  return "HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Stamp: s.{id}\r\n"
         "Content-Type: text/event-stream\r\n"
         "Transfer-Encoding: chunked\r\n\r\n"
         "c\r\nid: 1\ndata\n\n\r\n0\r\n\r\n";
}

std::string
AnswerTo(const std::string& aRequest)
{
  return aRequest.find(" /safe/") != std::string::npos ||
             aRequest.find(" /once/") != std::string::npos
           ? WholeAnswer("whole")
           : EventStream();
}

/** An upstream that turns its first requests away and asks for rest, and
 * accepts requests after that. */
class RestingUpstream
{
public:
  RestingUpstream(std::string aRetryAfter, std::size_t aRefusals = 1)
    : mRetryAfter(std::move(aRetryAfter))
    , mRefusals(aRefusals)
    , mUpstream([this](const std::string& aRequest) {
      return Script{ .mAnswer = Answer(aRequest) };
    })
  {
  }

  Address Where() const { return mUpstream.Where(); }
  /** Returns the arrivals later than a time after the first request. */
  std::size_t ArrivalsAfter(milliseconds aSince) const
  {
    const std::lock_guard lock(mMutex);
    return static_cast<std::size_t>(
      std::count_if(mArrivals.begin(), mArrivals.end(), [&](TimePoint aOne) {
        return aOne > mArrivals.front() + aSince;
      }));
  }
  std::size_t Arrivals() const
  {
    const std::lock_guard lock(mMutex);
    return mArrivals.size();
  }

private:
  std::string Answer(const std::string& aRequest)
  {
    const std::lock_guard lock(mMutex);
    mArrivals.push_back(runtime::ReadClock());
    if (mArrivals.size() > mRefusals) {
      return AnswerTo(aRequest);
    }
    return WithField(WithField(WholeAnswer("", 503), "X-Not-Run: 1"),
                     "Retry-After: " + mRetryAfter);
  }

  const std::string mRetryAfter;
  const std::size_t mRefusals;
  mutable std::mutex mMutex;
  std::vector<TimePoint> mArrivals;
  ScriptedUpstream mUpstream;
};

/** Sends calls on the route of a kind; returns the status lines. */
std::vector<std::string>
CallRepeatedly(const Address& aEntry, const std::string& aKind, int aCalls)
{
  std::vector<std::string> statuses;
  for (int call = 0; call < aCalls; ++call) {
    Caller caller(aEntry);
    caller.Send(RequestText(aKind, aKind + std::to_string(call)));
    statuses.push_back(StatusOf(caller.ReadAnswer()));
    std::this_thread::sleep_for(kCallPeriod);
  }
  return statuses;
}

} // namespace

// Guards against entries that go on sending to an upstream that has asked for
// rest, because one that turns requests away looks idle.
TEST_CASE("AnUpstreamThatAsksForRestGetsNoneOfLaterRequests")
{
  for (const std::string kind :
       { "safe", "once", "stream", "prompt", "draft" }) {
    RestingUpstream resting("3");
    ScriptedUpstream sound([](const std::string& aRequest) {
      return Script{ .mAnswer = AnswerTo(aRequest) };
    });
    GatewayFixture entry;
    entry.Add("resting", resting.Where());
    entry.Add("sound", sound.Where());
    const auto statuses = CallRepeatedly(entry.Where(), kind, kCalls);
    INFO("route " << kind << ": expected at most " << kMaxArrivals
                  << " requests during the rest, got "
                  << resting.ArrivalsAfter(kGrace));
    CHECK(resting.Arrivals() >= 1);
    CHECK(resting.ArrivalsAfter(kGrace) <= kMaxArrivals);
    INFO("expected every request to be served by the sound upstream");
    CHECK(std::all_of(statuses.begin(), statuses.end(), [](const auto& aOne) {
      return aOne == "HTTP/1.1 200";
    }));
  }
}

// Guards against callers that are held, or told to return at once, while no
// upstream may be used.
TEST_CASE("CallersAreToldWhenToReturnWhileAllUpstreamsRest")
{
  RestingUpstream one("3.5", 100);
  RestingUpstream two("3", 100);
  GatewayFixture entry;
  entry.Add("one", one.Where());
  entry.Add("two", two.Where());
  CallRepeatedly(entry.Where(), "safe", 3);
  const std::size_t before = one.Arrivals() + two.Arrivals();
  Caller caller(entry.Where());
  const TimePoint sentAt = runtime::ReadClock();
  caller.Send(RequestText("safe", "late"));
  const std::string answer = caller.ReadAnswer();
  CHECK(runtime::ReadClock() - sentAt < milliseconds(200));
  CHECK(StatusOf(answer) == "HTTP/1.1 503");
  CHECK(one.Arrivals() + two.Arrivals() == before);
  const std::size_t place = answer.find("Retry-After: ");
  REQUIRE(place != std::string::npos);
  const double wait = std::stod(answer.substr(place + 13));
  INFO("expected a time to return after the shortest rest of 3 s, got "
       << wait);
  CHECK(wait > 2.0);
}

// Guards against a request that reaches an upstream because its connection was
// being established when the rest was asked for.
TEST_CASE("ARequestThatIsBeingConnectedIsSentElsewhere")
{
  const auto answer = [](const std::string& aRequest) {
    return Script{ .mAnswer = AnswerTo(aRequest) };
  };
  for (const std::string kind : { "safe", "once", "stream" }) {
    ScriptedUpstream one(answer);
    ScriptedUpstream two(answer);
    GatewayFixture entry;
    entry.Add("one", one.Where());
    entry.Add("two", two.Where());
    std::optional<UpstreamName> resting;
    entry.OnRelay([&] {
      GatewayCore& core = entry.Core();
      core.mCoordinators.Set({ { .mAddress = entry.PeerAddress() } });
      core.mSendToEntry = [&](const Address&, const PeerMessage& aMessage) {
        const auto* sent = std::get_if<SendStartedReport>(&aMessage);
        if (sent != nullptr && !resting) {
          resting = sent->mUpstream;
          core.RecordRest(
            sent->mUpstream, sent->mIncarnation, milliseconds(3000), "test");
        }
      };
    });
    Caller caller(entry.Where());
    caller.Send(RequestText(kind, "first"));
    CHECK(StatusOf(caller.ReadAnswer()) == "HTTP/1.1 200");
    entry.OnRelay(
      [&] { entry.Core().mSendToEntry = [](const auto&, const auto&) {}; });
    REQUIRE(resting);
    const bool isOneResting = *resting == UpstreamName("one");
    INFO("route " << kind << ": expected one request, at the upstream that "
                  << "doesn't rest, and one connection to each");
    CHECK((isOneResting ? one : two).Requests().empty());
    CHECK((isOneResting ? two : one).Requests().size() == 1);
    // An upstream may accept a connection without a request after the answer.
    CHECK(
      Eventually([&] { return one.Connections() + two.Connections() == 2; }));
    CHECK(one.Connections() == 1);
    CHECK(two.Connections() == 1);
  }
}

// Guards against an upstream that rests being ejected or blamed, whether it
// says that the request has not run or not.
TEST_CASE("AnUpstreamIsUsedAgainRightAfterItsRest")
{
  RestingUpstream resting("0.2", 6);
  GatewayFixture entry;
  entry.Add("resting", resting.Where());
  std::string status;
  CHECK(Eventually([&] {
    Caller caller(entry.Where());
    caller.Send(RequestText("safe", "again"));
    status = StatusOf(caller.ReadAnswer());
    return status == "HTTP/1.1 200";
  }));
  CHECK(resting.Arrivals() == 7);
}

// Guards against a relayed connection by which an upstream gets requests of an
// entry that it has asked for rest.
TEST_CASE("TheEntryThatRelaysAConnectionRestsAsWell")
{
  RestingUpstream resting("4", 100);
  EntryGroup entries(2);
  UpstreamLink link(resting.Where());
  entries.Entry(0).Add("resting", link.Where());
  entries.Entry(1).Add("resting", resting.Where());
  link.Set(LinkState::kRefuseNew);
  Caller partitioned(entries.Entry(0).Where());
  partitioned.Send(RequestText("safe", "relayed"));
  CHECK(StatusOf(partitioned.ReadAnswer()) == "HTTP/1.1 503");
  REQUIRE(resting.Arrivals() == 1);
  CHECK(Eventually([&] {
    bool rests = false;
    entries.Entry(1).OnRelay([&] {
      const GatewayCore& core = entries.Entry(1).Core();
      rests = !core.mSelector.MayReceive(
        UpstreamName("resting"), Incarnation(), core.mNow());
    });
    return rests;
  }));
  for (std::size_t entry = 0; entry < 2; ++entry) {
    Caller caller(entries.Entry(entry).Where());
    caller.Send(RequestText("safe", "later"));
    CHECK(StatusOf(caller.ReadAnswer()) == "HTTP/1.1 503");
  }
  CHECK(resting.Arrivals() == 1);
}

// Guards against entries that send requests to an upstream which states that it
// leaves, as long as no heartbeat says so.
TEST_CASE("AnUpstreamThatStatesThatItLeavesGetsNoFurtherRequests")
{
  std::mutex mutex;
  std::size_t arrivals = 0;
  ScriptedUpstream leaving([&](const std::string& aRequest) {
    const std::lock_guard lock(mutex);
    ++arrivals;
    return Script{ .mAnswer = WithField(AnswerTo(aRequest), "X-Leaving: 1") };
  });
  ScriptedUpstream sound([](const std::string& aRequest) {
    return Script{ .mAnswer = AnswerTo(aRequest) };
  });
  GatewayFixture entry;
  entry.Add("leaving", leaving.Where());
  entry.Add("sound", sound.Where());
  std::vector<std::string> statuses;
  for (const std::string kind :
       { "safe", "once", "stream", "prompt", "draft" }) {
    const auto more = CallRepeatedly(entry.Where(), kind, 8);
    statuses.insert(statuses.end(), more.begin(), more.end());
  }
  const std::lock_guard lock(mutex);
  INFO("expected one request, whose response states the leave, got "
       << arrivals);
  CHECK(arrivals == 1);
  CHECK(std::all_of(statuses.begin(), statuses.end(), [](const auto& aOne) {
    return aOne == "HTTP/1.1 200";
  }));
}

} // namespace peridotspool::gateway
