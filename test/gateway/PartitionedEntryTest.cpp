// ctest-labels: gateway promise-at-most-once
// Entries that are partitioned from all upstreams, while callers and the other
// entries still reach them.

#include "gateway/EntryGroup.h"
#include "gateway/UpstreamLink.h"
#include "peridotspool/gateway/TunnelProtocol.h"
#include "peridotspool/gateway/TunnelRecord.h"
#include "peridotspool/runtime/SystemClock.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace peridotspool::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kEntries = 6;
/** Most of the entries. */
constexpr std::size_t kPartitioned = 4;
constexpr std::size_t kUpstreams = 4;
constexpr seconds kWarmUp{ 1 };
/** Callers are served again this long after a partition has begun. */
constexpr seconds kGrace{ 3 };
constexpr seconds kObserved{ 4 };
constexpr milliseconds kCallPeriod{ 40 };
/** Bounds the failures in a message. */
constexpr std::size_t kMaxShown = 5;
/** Kinds of requests, called in turn. */
constexpr std::array<const char*, 3> kKinds{ "safe", "once", "stream" };

Script
AnswerOf(const std::string& aRequest)
{
  std::this_thread::sleep_for(milliseconds(5));
  if (aRequest.starts_with("POST /stream")) {
    return { .mAnswer = "HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Stamp: proof\r\n"
                        "Content-Type: text/event-stream\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n"
                        "11\r\nid: 1\ndata: one\n\n\r\n0\r\n\r\n" };
  }
  // Some responses end their connections, so that new ones are needed.
  static std::atomic<unsigned> answers{ 0 };
  if (++answers % 4 != 0) {
    return { .mAnswer = WholeAnswer("whole") };
  }
  std::string answer = WholeAnswer("whole");
  answer.insert(answer.find("\r\n") + 2, "Connection: close\r\n");
  return { .mAnswer = std::move(answer), .mThen = Script::Then::kClose };
}

/** First tries at one entry, from one moment to another. */
struct Tries
{
  std::size_t mSent = 0;
  std::vector<std::string> mFailed;
};

/** Several entries before the same upstreams, some of them by links. */
class PartitionedGroup
{
public:
  PartitionedGroup()
    : mEntries(kEntries)
  {
    for (std::size_t i = 0; i < kUpstreams; ++i) {
      mUpstreams.push_back(std::make_unique<ScriptedUpstream>(AnswerOf));
      const std::string name = "u" + std::to_string(i);
      for (std::size_t entry = 0; entry < kEntries; ++entry) {
        if (entry < kPartitioned) {
          mLinks.push_back(
            std::make_unique<UpstreamLink>(mUpstreams[i]->Where()));
        }
        mEntries.Entry(entry).Add(name,
                                  entry < kPartitioned
                                    ? mLinks.back()->Where()
                                    : mUpstreams[i]->Where());
      }
    }
    for (std::size_t entry = 0; entry < kEntries; ++entry) {
      mCallers.emplace_back([this, entry] { Call(entry); });
    }
    std::this_thread::sleep_for(kWarmUp);
  }
  ~PartitionedGroup()
  {
    mStopping = true;
    for (std::thread& caller : mCallers) {
      caller.join();
    }
  }
  PartitionedGroup(const PartitionedGroup&) = delete;
  PartitionedGroup& operator=(const PartitionedGroup&) = delete;

  void SetLinks(LinkState aState)
  {
    for (const auto& link : mLinks) {
      link->Set(aState);
    }
  }
  /** Returns the connections that partitioned entries made by themselves. */
  std::size_t DirectConnections()
  {
    std::size_t sum = 0;
    for (const auto& link : mLinks) {
      sum += link->Connections();
    }
    return sum;
  }
  /** Starts to count tries at the partitioned entries anew. */
  void Restart()
  {
    const std::lock_guard lock(mMutex);
    mTries = {};
  }
  Tries PartitionedTries() const
  {
    const std::lock_guard lock(mMutex);
    return mTries;
  }
  /** Returns how often each request of the non-idempotent kind has run. */
  std::map<std::string, int> RunsOfOnce() const
  {
    std::map<std::string, int> runs;
    for (const auto& upstream : mUpstreams) {
      for (const std::string& request : upstream->Requests()) {
        if (request.starts_with("POST /once")) {
          const std::size_t from = request.find("X-Id: ");
          ++runs[request.substr(from, request.find("\r\n", from) - from)];
        }
      }
    }
    return runs;
  }
  /** Returns the different requests of a kind without what differs for each. */
  std::vector<std::string> Forms(const std::string& aKind) const
  {
    std::vector<std::string> forms;
    for (const auto& upstream : mUpstreams) {
      for (std::string request : upstream->Requests()) {
        if (!request.starts_with("POST /" + aKind)) {
          continue;
        }
        for (const char* name : { "X-Id: ", "X-Deadline: ", "X-Expect: " }) {
          const std::size_t from = request.find(name);
          request.erase(from, request.find("\r\n", from) - from);
        }
        if (std::find(forms.begin(), forms.end(), request) == forms.end()) {
          forms.push_back(request);
        }
      }
    }
    return forms;
  }

private:
  void Call(std::size_t aEntry)
  {
    auto caller = std::make_unique<Caller>(mEntries.Entry(aEntry).Where());
    for (std::size_t n = 0; !mStopping; ++n) {
      const std::string id = std::to_string(aEntry) + "-" + std::to_string(n);
      const TimePoint sentAt = runtime::ReadClock();
      caller->Send(RequestText(kKinds.at(n % kKinds.size()), id, "body"));
      const std::string answer = caller->ReadAnswer();
      const bool served = StatusOf(answer) == "HTTP/1.1 200";
      if (!served) {
        caller = std::make_unique<Caller>(mEntries.Entry(aEntry).Where());
      }
      if (aEntry < kPartitioned) {
        const std::lock_guard lock(mMutex);
        ++mTries.mSent;
        if (!served) {
          mTries.mFailed.push_back(
            id + " after " +
            std::to_string((runtime::ReadClock() - sentAt).count() / 1000) +
            " ms: " + answer);
        }
      }
      std::this_thread::sleep_for(kCallPeriod);
    }
  }

  std::vector<std::unique_ptr<ScriptedUpstream>> mUpstreams;
  std::vector<std::unique_ptr<UpstreamLink>> mLinks;
  EntryGroup mEntries;
  mutable std::mutex mMutex;
  Tries mTries;
  std::atomic<bool> mStopping{ false };
  std::vector<std::thread> mCallers;
};

void
CheckServed(const Tries& aTries)
{
  std::string first;
  for (std::size_t i = 0; i < std::min(kMaxShown, aTries.mFailed.size()); ++i) {
    first += "\n" + aTries.mFailed[i];
  }
  INFO("expected at most 1 in 50 of "
       << aTries.mSent << " first tries to fail, got " << aTries.mFailed.size()
       << first);
  CHECK(aTries.mSent > 50);
  CHECK(aTries.mFailed.size() * 50 <= aTries.mSent);
}

void
CheckPartition(LinkState aState)
{
  PartitionedGroup group;
  group.SetLinks(aState);
  std::this_thread::sleep_for(kGrace);
  group.Restart();
  std::this_thread::sleep_for(kObserved);
  CheckServed(group.PartitionedTries());

  group.SetLinks(LinkState::kPass);
  std::this_thread::sleep_for(kGrace);
  group.Restart();
  const std::size_t before = group.DirectConnections();
  std::this_thread::sleep_for(kObserved);
  CheckServed(group.PartitionedTries());
  INFO("expected entries to use their own path again after the partition");
  CHECK(group.DirectConnections() > 0);
  CHECK(group.DirectConnections() >= before);

  for (const auto& [id, runs] : group.RunsOfOnce()) {
    INFO(id << " ran " << runs << " times, expected once at most");
    CHECK(runs <= 1);
  }
  for (const char* kind : kKinds) {
    INFO("expected all upstream requests of a kind to have the same bytes");
    CHECK(group.Forms(kind).size() == 1);
  }
}

} // namespace

// Guards against an entry that takes the loss of its own path for failures of
// the upstreams while connections to them hang.
TEST_CASE("CallersOfAPartitionedEntryAreServedWhileConnectionsHang")
{
  CheckPartition(LinkState::kHang);
}

// Guards against an entry that tries one upstream after the other while all
// refuse its connections.
TEST_CASE("CallersOfAPartitionedEntryAreServedWhileConnectionsAreReset")
{
  CheckPartition(LinkState::kReset);
}

// Guards against an entry that is misled by open connections that still work.
TEST_CASE("CallersOfAPartitionedEntryAreServedWhileOpenConnectionsLiveOn")
{
  CheckPartition(LinkState::kRefuseNew);
}

// Guards against a partitioned entry that gives up tunnels while they are being
// opened.
TEST_CASE("ATunnelThatIsOpenedSlowlyIsUsed")
{
  constexpr milliseconds kOpening{ 80 };
  ScriptedUpstream slow([&](const std::string& aRequest) {
    if (!aRequest.starts_with("CONNECT")) {
      std::string answer = WholeAnswer("whole");
      answer.replace(answer.find("{id}"), 4, "1");
      return Script{ .mAnswer =
                       WriteTunnelRecord(TunnelRecordType::kData, answer) };
    }
    std::this_thread::sleep_for(kOpening);
    return Script{ .mAnswer = WriteTunnelResponse(std::nullopt) };
  });
  GatewayFixture entry;
  entry.Add("u", { "127.0.0.1", 1 });
  Address peer = slow.Where();
  ++peer.mPort;
  entry.OnRelay([&] {
    GatewayCore& core = entry.Core();
    core.SetTunnelPeers({ { .mAddress = peer, .mDomain = {} } }, {});
    core.mUpstreamPath.RecordUnreachable(UpstreamName("x"), core.mNow());
    core.mUpstreamPath.RecordUnreachable(UpstreamName("y"), core.mNow());
  });
  std::this_thread::sleep_for(milliseconds(500));
  std::atomic<bool> done{ false };
  std::thread ticking([&] {
    while (!done) {
      entry.OnRelay([&] { entry.TickUpstreamPath(); });
      std::this_thread::sleep_for(milliseconds(10));
    }
  });
  Caller caller(entry.Where());
  caller.Send(RequestText("safe", "1"));
  CHECK(StatusOf(caller.ReadAnswer()) == "HTTP/1.1 200");
  done = true;
  ticking.join();
  INFO("expected one request for a tunnel, and one through it");
  CHECK(slow.Requests().size() == 2);
}

} // namespace peridotspool::gateway
