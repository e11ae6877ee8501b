// ctest-labels: gateway unit
#include "gateway/EarlyUpstream.h"
#include "gateway/GatewayFixture.h"
#include "peridotspool/gateway/TunnelAddress.h"
#include "peridotspool/gateway/TunnelProtocol.h"
#include "peridotspool/gateway/TunnelRecord.h"

#include <catch2/catch.hpp>

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace peridotspool::gateway {

namespace {

constexpr const char* kHeadEnd = "\r\n\r\n";

std::string
RequestFor(const std::string& aName, std::uint64_t aIncarnation = 0)
{
  return WriteTunnelRequest({ .mName = UpstreamName(aName),
                              .mIncarnation = Incarnation(aIncarnation),
                              .mAddress = { "127.0.0.1", 1 } });
}

/** Asks an entry for a tunnel. */
std::unique_ptr<Caller>
Ask(const GatewayFixture& aEntry, const std::string& aRequest)
{
  auto caller = std::make_unique<Caller>(TunnelAddressOf(aEntry.PeerAddress()));
  caller->Send(aRequest);
  return caller;
}

/** Opens a tunnel to the upstream "u" and sends a request through it. */
std::unique_ptr<Caller>
SendThroughTunnel(const GatewayFixture& aEntry)
{
  auto caller = Ask(aEntry, RequestFor("u"));
  caller->ReadTo(kHeadEnd);
  caller->Send(RequestText("safe", "1"));
  return caller;
}

/** An entry that relays a request to an upstream which never answers. */
struct HangingTunnel
{
  HangingTunnel()
  {
    mEntry.Add("u", mUpstream.Where());
    mCaller = SendThroughTunnel(mEntry);
    CHECK(Eventually([&] { return mUpstream.Requests().size() == 1; }));
  }

  ScriptedUpstream mUpstream{ [](const std::string&) {
    return Script{ .mThen = Script::Then::kHang };
  } };
  GatewayFixture mEntry;
  std::unique_ptr<Caller> mCaller;
};

/** What a tunnel has carried until it ended. */
struct TunnelContent
{
  std::string mData;
  std::optional<TunnelRecordType> mEnd;
};

/** Reads a tunnel until its connection is closed or silent for two seconds. */
TunnelContent
ReadAll(Caller& aCaller)
{
  TunnelContent content;
  TunnelRecordReader reader;
  CHECK(reader.Read(aCaller.ReadAll(), content.mData));
  content.mEnd = reader.End();
  return content;
}

/** Returns the failure that a request for a tunnel ends with. */
std::optional<TunnelFailure>
FailureOf(const GatewayFixture& aEntry, const std::string& aRequest)
{
  std::optional<TunnelFailure> failure;
  const std::string head = Ask(aEntry, aRequest)->ReadTo(kHeadEnd);
  INFO("got the response " << head);
  REQUIRE(ParseTunnelResponse(head, failure));
  return failure;
}

} // namespace

TEST_CASE("ATunnelCarriesBytesUnchangedInBothDirections")
{
  ScriptedUpstream upstream([](const std::string&) {
    return Script{ .mAnswer = WholeAnswer("b"), .mThen = Script::Then::kClose };
  });
  GatewayFixture entry;
  entry.Add("u", upstream.Where());
  const auto caller = Ask(entry, RequestFor("u"));
  REQUIRE(StatusOf(caller->ReadTo(kHeadEnd)) == "HTTP/1.1 200");
  const std::string request = RequestText("safe", "1", "body");
  caller->Send(request);
  std::string expected = WholeAnswer("b");
  expected.replace(expected.find("{id}"), 4, "1");
  CHECK(ReadAll(*caller).mData == expected);
  CHECK(upstream.Requests() == std::vector{ request });
}

// Guards against a truncated response that looks complete because the reset of
// its connection became a close.
TEST_CASE("ATunnelPassesOnWhetherAConnectionWasClosedOrReset")
{
  for (const auto& [then, expected] :
       { std::pair(Script::Then::kClose, TunnelRecordType::kClosed),
         { Script::Then::kReset, TunnelRecordType::kReset } }) {
    ScriptedUpstream upstream([end = then](const std::string&) {
      return Script{ .mAnswer = "HTTP/1.1 200 OK\r\n\r\n", .mThen = end };
    });
    GatewayFixture entry;
    entry.Add("u", upstream.Where());
    const auto caller = SendThroughTunnel(entry);
    const TunnelContent content = ReadAll(*caller);
    CHECK(content.mData == "HTTP/1.1 200 OK\r\n\r\n");
    CHECK(content.mEnd == expected);
  }
}

// Guards against a truncated response that looks complete because its upstream
// reset the connection while the request was still being written.
TEST_CASE("ATunnelPassesOnAResetDuringAnUpload")
{
  EarlyUpstream upstream("HTTP/1.1 200 OK\r\n\r\npart",
                         EarlyUpstream::Then::kReset);
  GatewayFixture entry;
  entry.Add("u", upstream.Where());
  const auto caller = Ask(entry, RequestFor("u"));
  caller->ReadTo(kHeadEnd);
  caller->Send(RequestText("safe", "1", LongUpload()));
  const TunnelContent content = ReadAll(*caller);
  CHECK(content.mData == "HTTP/1.1 200 OK\r\n\r\npart");
  CHECK(content.mEnd == TunnelRecordType::kReset);
}

// Guards against a tunnel that ends like one whose upstream has closed, as the
// entry that relays it stops.
TEST_CASE("ATunnelThatIsClosedByItsEntryHasNoEnd")
{
  HangingTunnel tunnel;
  tunnel.mEntry.OnRelay([&] { tunnel.mEntry.CloseTunnels(); });
  CHECK_FALSE(ReadAll(*tunnel.mCaller).mEnd);
}

// Guards against an entry that waits for another one that is frozen.
TEST_CASE("ATunnelShowsThatItsEntryIsAlive")
{
  HangingTunnel tunnel;
  CHECK(Eventually([&] {
    tunnel.mEntry.OnRelay([&] { tunnel.mEntry.TickUpstreamPath(); });
    return tunnel.mCaller->HasData();
  }));
  const std::string keepAlive = WriteTunnelRecord(TunnelRecordType::kKeepAlive);
  CHECK(tunnel.mCaller->ReadTo(keepAlive) == keepAlive);
}

TEST_CASE("AClosedTunnelClosesTheUpstreamsConnection")
{
  HangingTunnel tunnel;
  tunnel.mCaller.reset();
  CHECK(Eventually([&] { return tunnel.mUpstream.ClosedWhileHanging() == 1; }));
}

// Guards against tunnels to addresses that are no upstream's, or another's by
// now.
TEST_CASE("ATunnelLeadsToKnownUpstreamsOnly")
{
  ScriptedUpstream upstream([](const std::string&) { return Script{}; });
  GatewayFixture entry;
  entry.Add("u", upstream.Where());
  CHECK(FailureOf(entry, RequestFor("v")) == TunnelFailure::kUnknownUpstream);
  CHECK(FailureOf(entry, RequestFor("u", 7)) ==
        TunnelFailure::kUnknownUpstream);
  CHECK(upstream.Connections() == 0);
}

// Guards against tunnels through two entries, and loops of them.
TEST_CASE("APartitionedEntryRelaysNothing")
{
  ScriptedUpstream upstream([](const std::string&) { return Script{}; });
  GatewayFixture entry;
  entry.Add("u", upstream.Where());
  entry.OnRelay([&] {
    auto& path = entry.Core().mUpstreamPath;
    path.RecordUnreachable(UpstreamName("x"), entry.Core().mNow());
    path.RecordUnreachable(UpstreamName("y"), entry.Core().mNow());
  });
  CHECK(FailureOf(entry, RequestFor("u")) == TunnelFailure::kPeerPartitioned);
}

// Guards against partitioned entries that confirm to each other that upstreams
// refuse connections.
TEST_CASE("AnEntryThatReachesNoUpstreamBlamesNone")
{
  ScriptedUpstream one([](const std::string&) { return Script{}; });
  ScriptedUpstream two([](const std::string&) { return Script{}; });
  GatewayFixture entry;
  entry.Add("one", one.Where());
  entry.Add("two", two.Where());
  one.StopListening();
  two.StopListening();
  CHECK(FailureOf(entry, RequestFor("one")) == TunnelFailure::kUpstreamRefused);
  CHECK(FailureOf(entry, RequestFor("two")) == TunnelFailure::kPeerPartitioned);
}

TEST_CASE("AMalformedRequestForATunnelClosesItsConnection")
{
  GatewayFixture entry;
  for (const std::string& request :
       { std::string("GET / HTTP/1.1\r\n\r\n"),
         // Without an agreed framing.
         std::string("CONNECT a:1 HTTP/1.1\r\nX-Upstream: u\r\n"
                     "X-Incarnation: 0\r\n\r\n"),
         std::string("CONNECT a:1 HTTP/1.1\r\n\r\n"),
         std::string("CONNECT a:1 HTTP/1.1\r\nX-Upstream: u\r\n"
                     "X-Incarnation: x\r\n\r\n"),
         std::string(10000, 'a') }) {
    INFO("expected a close after " << request.substr(0, 60));
    CHECK(Ask(entry, request)->IsClosed());
  }
}

// Guards against requests of other entries that reach an upstream through the
// entry which it has asked for rest.
TEST_CASE("NoTunnelLeadsToAnUpstreamThatRestsOrLeaves")
{
  ScriptedUpstream upstream([](const std::string&) { return Script{}; });
  GatewayFixture entry;
  entry.Add("rests", upstream.Where());
  entry.Add("leaves", upstream.Where());
  entry.OnRelay([&] {
    GatewayCore& core = entry.Core();
    core.RecordRest(
      UpstreamName("rests"), Incarnation(), std::chrono::seconds(9), "");
    core.RecordLeaving(UpstreamName("leaves"), Incarnation(), "");
  });
  CHECK(FailureOf(entry, RequestFor("rests")) ==
        TunnelFailure::kUpstreamResting);
  CHECK(FailureOf(entry, RequestFor("leaves")) ==
        TunnelFailure::kUnknownUpstream);
  CHECK(upstream.Connections() == 0);
}

TEST_CASE("AnOpenTunnelIsRetiredWhenItsUpstreamRests")
{
  HangingTunnel tunnel;
  tunnel.mEntry.OnRelay([&] {
    tunnel.mEntry.Core().RecordRest(
      UpstreamName("u"), Incarnation(), std::chrono::seconds(9), "");
  });
  const std::string retired = WriteTunnelRecord(TunnelRecordType::kRetired);
  CHECK(tunnel.mCaller->ReadTo(retired) == retired);
  CHECK(tunnel.mUpstream.ClosedWhileHanging() == 0);
}

TEST_CASE("AStoppingEntryAcceptsNoTunnels")
{
  ScriptedUpstream upstream([](const std::string&) { return Script{}; });
  GatewayFixture entry;
  entry.Add("u", upstream.Where());
  entry.OnRelay([&] { entry.Core().mStopping = true; });
  CHECK(FailureOf(entry, RequestFor("u")) == TunnelFailure::kPeerBusy);
}

} // namespace peridotspool::gateway
