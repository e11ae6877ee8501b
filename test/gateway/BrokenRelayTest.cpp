// ctest-labels: promise-whole-own-answer promise-at-most-once
// Answers that reach a partitioned entry through another one, which is killed,
// frozen or stopped meanwhile.

#include "gateway/CutAnswer.h"
#include "gateway/CuttingLink.h"
#include "peridotspool/gateway/TunnelAddress.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>

namespace peridotspool::gateway {

namespace {

using observe::CounterId;
using Then = Script::Then;

/** A partitioned entry that reaches an upstream through another entry. */
class RelayedEntry
{
public:
  explicit RelayedEntry(ScriptedUpstream::Handler aHandler)
    : mUpstream(std::move(aHandler))
    , mLink(TunnelAddressOf(mRelay.PeerAddress()))
  {
    mRelay.Add("u", mUpstream.Where());
    // Nothing listens there.
    mEntry.Add("u", { "127.0.0.1", 1 });
    mEntry.OnRelay([&] {
      GatewayCore& core = mEntry.Core();
      Address peer = mLink.Where();
      ++peer.mPort;
      core.SetTunnelPeers({ { .mAddress = peer, .mDomain = {} } }, {});
      core.mUpstreamPath.RecordUnreachable(UpstreamName("x"), core.mNow());
      core.mUpstreamPath.RecordUnreachable(UpstreamName("y"), core.mNow());
      core.mRetryBudget = ServiceRetryBudget({ .mFixedAllowance = 1e6 });
    });
    mTicking = std::thread([this] { Tick(); });
  }
  ~RelayedEntry()
  {
    mStopping = true;
    mTicking.join();
  }
  RelayedEntry(const RelayedEntry&) = delete;
  RelayedEntry& operator=(const RelayedEntry&) = delete;

  SeenAnswer Ask(const std::string& aRoute, const std::string& aId)
  {
    Caller caller(mEntry.Where());
    caller.Send(RequestText(aRoute, aId, aId));
    return ParseAnswer(caller.ReadAnswer());
  }
  /** Closes tunnels that carry no request and forgets failures. */
  void Reset()
  {
    mEntry.OnRelay(
      [&] { mEntry.Core().mPool.RemoveIf([](const auto&) { return true; }); });
  }
  std::uint64_t Counted(CounterId aId)
  {
    std::uint64_t value = 0;
    mEntry.OnRelay([&] { value = mEntry.Core().mCounters.Value(aId); });
    return value;
  }
  CuttingLink& Link() { return mLink; }
  GatewayFixture& Relay() { return mRelay; }
  std::size_t Runs() const { return mUpstream.Requests().size(); }

private:
  void Tick()
  {
    while (!mStopping) {
      mEntry.OnRelay([&] { mEntry.TickUpstreamPath(); });
      mRelay.OnRelay([&] { mRelay.TickUpstreamPath(); });
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
  }

  ScriptedUpstream mUpstream;
  GatewayFixture mRelay;
  CuttingLink mLink;
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
    const std::size_t before = entry.Runs();
    const SeenAnswer seen = entry.Ask(aRoute, std::to_string(bytes));
    const std::size_t runs = entry.Runs() - before;
    INFO(ToText(kind) << " through an entry killed after " << bytes
                      << " bytes: the caller got '" << seen.mStatus << "' "
                      << (seen.mComplete ? "complete" : "incomplete")
                      << " with the body '" << seen.mBody << "' after " << runs
                      << " runs");
    if (seen.mComplete && seen.mStatus == "HTTP/1.1 200") {
      CHECK(seen.mBody == WholeBody(kind));
    }
    CHECK(runs <= (kind.IsRetryable() ? 2 : 1));
  }
  INFO("expected the loss of another entry not to count against an upstream");
  CHECK(entry.Counted(CounterId::kUpstreamEjected) == 0);
}

} // namespace

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

} // namespace peridotspool::gateway
