// ctest-labels: promise-whole-own-answer promise-at-most-once
// Answers that reach a partitioned entry through another one, which is killed,
// frozen or stopped meanwhile.

#include "gateway/CutAnswer.h"
#include "gateway/CuttingLink.h"
#include "peridotspool/gateway/TunnelAddress.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace peridotspool::gateway {

namespace {

using observe::CounterId;
using Then = Script::Then;

/** An entry that relays, and the path to it. */
struct RelayingEntry
{
  GatewayFixture mGateway;
  CuttingLink mLink{ TunnelAddressOf(mGateway.PeerAddress()) };
};

/** A partitioned entry that reaches two upstreams through other entries. */
class RelayedEntry
{
public:
  explicit RelayedEntry(const ScriptedUpstream::Handler& aHandler,
                        std::size_t aRelays = 1)
    : mUpstreams(aHandler, aHandler)
    , mRelays(aRelays)
  {
    std::vector<Coordinator> peers;
    for (RelayingEntry& relay : mRelays) {
      relay.mGateway.Add("u1", mUpstreams.first.Where());
      relay.mGateway.Add("u2", mUpstreams.second.Where());
      peers.push_back({ .mAddress = relay.mLink.Where(), .mDomain = {} });
      ++peers.back().mAddress.mPort;
    }
    // Nothing listens there.
    mEntry.Add("u1", { "127.0.0.1", 1 });
    mEntry.Add("u2", { "127.0.0.1", 1 });
    mEntry.OnRelay([&] {
      GatewayCore& core = mEntry.Core();
      core.SetTunnelPeers(peers, {});
      core.mRetryBudget = ServiceRetryBudget({ .mFixedAllowance = 1e6 });
    });
    Partition();
    mTicking = std::thread([this] { Tick(); });
  }
  ~RelayedEntry()
  {
    mStopping = true;
    mTicking.join();
  }
  RelayedEntry(const RelayedEntry&) = delete;
  RelayedEntry& operator=(const RelayedEntry&) = delete;

  /** Lets the entry reach no upstream by itself. */
  void Partition()
  {
    mEntry.OnRelay([&] {
      auto& path = mEntry.Core().mUpstreamPath;
      path.RecordUnreachable(UpstreamName("x"), mEntry.Core().mNow());
      path.RecordUnreachable(UpstreamName("y"), mEntry.Core().mNow());
    });
  }
  /** Ends the partition, with one upstream that is reached and no other. */
  void AddDirect(const std::string& aName, const Address& aWhere)
  {
    mEntry.OnRelay([&] {
      GatewayCore& core = mEntry.Core();
      // Silence alone is not to move a request.
      core.mUpstreamPath = routing::UpstreamPathMonitor(
        { .mMaxSilence = std::chrono::seconds(10),
          .mMaxLoneSilence = std::chrono::seconds(10) });
      core.mSelector.Update(UpstreamName("u1"), nullptr, core.mNow());
      core.mSelector.Update(UpstreamName("u2"), nullptr, core.mNow());
    });
    mEntry.Add(aName, aWhere);
    for (RelayingEntry& relay : mRelays) {
      relay.mGateway.Add(aName, aWhere);
    }
  }
  SeenAnswer Ask(const std::string& aRoute, const std::string& aId)
  {
    Caller caller(mEntry.Where());
    std::string request = RequestText(aRoute, aId, aId);
    const std::size_t deadline = request.find("X-Deadline: 1000");
    request.replace(deadline,
                    std::string_view("X-Deadline: 1000").size(),
                    "X-Deadline: 1500");
    caller.Send(request);
    return ParseAnswer(caller.ReadAnswer());
  }
  /** Closes tunnels that carry no request. */
  void Reset()
  {
    mEntry.OnRelay(
      [&] { mEntry.Core().mPool.RemoveIf([](const auto&) { return true; }); });
  }
  void ClearEjections()
  {
    mEntry.OnRelay([&] { mEntry.Core().mSelector.ClearEjections(); });
  }
  std::uint64_t Counted(CounterId aId)
  {
    std::uint64_t value = 0;
    mEntry.OnRelay([&] { value = mEntry.Core().mCounters.Value(aId); });
    return value;
  }
  CuttingLink& Link() { return mRelays.front().mLink; }
  /** Freezes the entries that relay a tunnel now. */
  void FreezeUsedRelays()
  {
    for (RelayingEntry& relay : mRelays) {
      relay.mLink.Freeze(relay.mLink.Passed() > 0);
    }
  }
  /** Returns how often each request has run. */
  std::map<std::string, int> Runs() const
  {
    std::map<std::string, int> runs;
    for (const ScriptedUpstream* upstream :
         { &mUpstreams.first, &mUpstreams.second }) {
      for (const std::string& request : upstream->Requests()) {
        ++runs[request.substr(request.rfind("\r\n") + 2)];
      }
    }
    return runs;
  }

private:
  void Tick()
  {
    while (!mStopping) {
      mEntry.OnRelay([&] { mEntry.TickUpstreamPath(); });
      for (RelayingEntry& relay : mRelays) {
        relay.mGateway.OnRelay([&] { relay.mGateway.TickUpstreamPath(); });
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
  }

  std::pair<ScriptedUpstream, ScriptedUpstream> mUpstreams;
  std::vector<RelayingEntry> mRelays;
  GatewayFixture mEntry;
  std::atomic<bool> mStopping{ false };
  std::thread mTicking;
};

void
CheckEachByte(const std::string& aRoute, BodyFraming aFraming)
{
  const AnswerKind kind{ .mRoute = aRoute, .mFraming = aFraming };
  const bool endsByClose = aFraming == BodyFraming::kConnection;
  RelayedEntry entry([&](const std::string& aRequest) {
    return Script{ .mAnswer = AnswerBytes(kind, aRequest),
                   .mThen = endsByClose ? Then::kClose : Then::kKeep };
  });
  REQUIRE(entry.Ask(aRoute, "uncut").mBody == WholeBody(kind));
  const std::size_t size = entry.Link().Passed();
  for (std::size_t bytes = 0; bytes < size; ++bytes) {
    entry.Reset();
    entry.Link().Cut(bytes);
    const SeenAnswer seen = entry.Ask(aRoute, std::to_string(bytes));
    INFO(ToText(kind) << " through an entry killed after " << bytes
                      << " bytes: the caller got '" << seen.mStatus << "' "
                      << (seen.mComplete ? "complete" : "incomplete")
                      << " with the body '" << seen.mBody << "'");
    const bool isSuccess = seen.mComplete && seen.mStatus == "HTTP/1.1 200";
    if (isSuccess) {
      CHECK(seen.mBody == WholeBody(kind));
    }
    // A resumed response with nothing left to send has no provable end.
    const bool isUnproven =
      kind.IsStream() && endsByClose && seen.mBody == WholeBody(kind);
    CHECK((isSuccess || !kind.IsRetryable() || isUnproven));
  }
  for (const auto& [request, runs] : entry.Runs()) {
    INFO(ToText(kind) << ", request " << request);
    CHECK(runs <= (kind.IsRetryable() ? 2 : 1));
  }
  INFO("expected the loss of another entry not to count against an upstream");
  CHECK(entry.Counted(CounterId::kUpstreamEjected) == 0);
}

/** Cuts the first answer to each request at each byte; the entry that relays
 * it lives. */
void
CheckEachByteOfUpstream(const AnswerKind& aKind)
{
  std::atomic<std::size_t> cut{ 0 };
  std::mutex mutex;
  std::set<std::string> begun;
  RelayedEntry entry([&](const std::string& aRequest) {
    const std::string bytes = AnswerBytes(aKind, aRequest);
    const std::lock_guard lock(mutex);
    if (begun.insert(aRequest.substr(aRequest.rfind("\r\n") + 2)).second) {
      return Script{ .mAnswer = bytes.substr(0, cut), .mThen = aKind.mThen };
    }
    return Script{ .mAnswer = bytes,
                   .mThen = aKind.mFraming == BodyFraming::kConnection
                              ? Then::kClose
                              : Then::kKeep };
  });
  const std::size_t size = AnswerBytes(aKind).size();
  for (cut = 0; cut <= size; ++cut) {
    entry.Reset();
    entry.ClearEjections();
    const SeenAnswer seen = entry.Ask(aKind.mRoute, std::to_string(cut));
    INFO(ToText(aKind) << " after " << cut << " bytes through another entry: "
                       << "the caller got '" << seen.mStatus << "' "
                       << (seen.mComplete ? "complete" : "incomplete")
                       << " with the body '" << seen.mBody << "'");
    const bool isSuccess = seen.mComplete && seen.mStatus == "HTTP/1.1 200";
    if (ProvesComplete(aKind, cut)) {
      CHECK(isSuccess);
      CHECK(seen.mBody == BodyOf(aKind, cut));
    } else if (isSuccess) {
      CHECK(aKind.IsRetryable());
      CHECK(seen.mBody == WholeBody(aKind));
    } else {
      // A resumed response with nothing left to send has no provable end.
      CHECK((!aKind.IsRetryable() || seen.mBody == WholeBody(aKind)));
    }
  }
}

} // namespace

// Guards against an answer whose upstream ended its connection within the head
// or the body, and that another entry passes on as complete.
TEST_CASE("AnAnswerBrokenOffBehindAnotherEntryIsNeverTakenForComplete")
{
  const std::string route = GENERATE("once", "prompt", "safe", "stream");
  for (const BodyFraming framing : { BodyFraming::kConnection,
                                     BodyFraming::kLength,
                                     BodyFraming::kChunked }) {
    for (const Then then : { Then::kClose, Then::kReset }) {
      CheckEachByteOfUpstream(
        { .mRoute = route, .mFraming = framing, .mThen = then });
    }
  }
}

// Guards against an answer that ends with its connection and is taken for
// complete because the entry that relayed it was killed.
TEST_CASE("AnAnswerThroughAnEntryKilledAtAnyByteIsNeverTakenForComplete")
{
  for (const char* route : { "once", "prompt", "safe", "stream" }) {
    for (const BodyFraming framing : { BodyFraming::kConnection,
                                       BodyFraming::kLength,
                                       BodyFraming::kChunked }) {
      CheckEachByte(route, framing);
    }
  }
}

// Guards against a request that waits for its deadline behind a frozen entry
// though it may run again.
TEST_CASE("AnIdempotentRequestIsRepeatedIfTheRelayingEntryFreezes")
{
  std::atomic<RelayedEntry*> group{ nullptr };
  std::atomic<int> runs{ 0 };
  RelayedEntry entry(
    [&](const std::string&) {
      if (++runs == 1) {
        group.load()->FreezeUsedRelays();
      }
      return Script{ .mAnswer = WholeAnswer("whole") };
    },
    2);
  group = &entry;
  const SeenAnswer seen = entry.Ask("safe", "1");
  CHECK(seen.mStatus == "HTTP/1.1 200");
  CHECK(seen.mBody == "whole");
  CHECK(runs == 2);
  CHECK(entry.Counted(CounterId::kUpstreamEjected) == 0);
}

// Guards against a request that runs twice because an entry froze.
TEST_CASE("ANonIdempotentRequestWaitsForAFrozenEntry")
{
  std::atomic<RelayedEntry*> group{ nullptr };
  std::atomic<int> runs{ 0 };
  RelayedEntry entry(
    [&](const std::string&) {
      ++runs;
      group.load()->FreezeUsedRelays();
      return Script{ .mAnswer = WholeAnswer("whole") };
    },
    2);
  group = &entry;
  CHECK(entry.Ask("once", "1").mStatus == "HTTP/1.1 504");
  CHECK(runs == 1);
  CHECK(entry.Counted(CounterId::kUpstreamEjected) == 0);
}

// Guards against a request that leaves an open connection which lives on, as
// soon as another request uses a tunnel.
TEST_CASE("ATunnelDoesNotEndRequestsOnOpenConnections")
{
  std::atomic<int> runs{ 0 };
  const auto answer = [&](const std::string&) {
    const bool isFirst = ++runs == 1;
    std::this_thread::sleep_for(std::chrono::milliseconds(isFirst ? 900 : 300));
    return Script{ .mAnswer = WholeAnswer("whole") };
  };
  RelayedEntry entry(answer);
  ScriptedUpstream direct(answer);
  entry.AddDirect("u3", direct.Where());
  std::string seen;
  std::thread waiting([&] { seen = entry.Ask("safe", "1").mBody; });
  CHECK(Eventually([&] { return direct.Requests().size() == 1; }));
  entry.Partition();
  CHECK(entry.Ask("safe", "2").mBody == "whole");
  waiting.join();
  CHECK(seen == "whole");
  CHECK(runs == 2);
}

// Guards against a busy upstream behind a tunnel that is taken for a frozen
// entry.
TEST_CASE("ASlowAnswerThroughALivingEntryIsAwaited")
{
  std::atomic<int> runs{ 0 };
  RelayedEntry entry([&](const std::string&) {
    ++runs;
    std::this_thread::sleep_for(std::chrono::milliseconds(1300));
    return Script{ .mAnswer = WholeAnswer("whole") };
  });
  CHECK(entry.Ask("safe", "1").mBody == "whole");
  CHECK(runs == 1);
}

} // namespace peridotspool::gateway
