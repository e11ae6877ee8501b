// ctest-labels: gateway promise-refusal-did-not-run
// Bounds on what callers send, and what they cost the others.

#include "gateway/GatewayFixture.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <memory>
#include <vector>

namespace peridotspool::gateway {

namespace {

const std::string kChunkedHead =
  "POST /safe/x HTTP/1.1\r\nHost: h.example\r\nX-Id: r\r\nX-Deadline: 1000\r\n"
  "Transfer-Encoding: chunked\r\n\r\n";

/** An entry before a sound upstream, which never answers if mHangs. */
struct BoundsFixture
{
  explicit BoundsFixture(const limits::ConnectionBounds& aBounds = {})
    : mGateway(aBounds)
  {
    mGateway.Add("sound", mUpstream.Where());
  }

  std::string Call(const std::string& aRequest)
  {
    Caller caller(mGateway.Where());
    caller.Send(aRequest);
    return caller.ReadAnswer();
  }

  std::atomic<bool> mHangs{ false };
  ScriptedUpstream mUpstream{ [this](const std::string&) {
    return mHangs ? Script{ .mAnswer = "", .mThen = Script::Then::kHang }
                  : Script{ .mAnswer = WholeAnswer("done") };
  } };
  GatewayFixture mGateway;
};

} // namespace

// Guards against a bound on framing that is applied to a body.
TEST_CASE("ABodyLongerThanAHeaderMayBeIsServed")
{
  BoundsFixture fixture;
  const std::string body(9000, 'b');
  CHECK(StatusOf(fixture.Call(RequestText("safe", "r", body))) ==
        "HTTP/1.1 200");
  CHECK(StatusOf(fixture.Call(kChunkedHead + "2328\r\n" + body +
                              "\r\n0\r\n\r\n")) == "HTTP/1.1 200");
  for (const std::string& request : fixture.mUpstream.Requests()) {
    CHECK(request.ends_with("\r\n\r\n" + body));
  }
}

// Guards against a trailer that stands for a field of the head.
TEST_CASE("TrailersReachNoUpstream")
{
  BoundsFixture fixture;
  CHECK(StatusOf(
          fixture.Call(kChunkedHead + "1\r\nb\r\n0\r\nX-Other: t\r\n\r\n")) ==
        "HTTP/1.1 200");
  REQUIRE(fixture.mUpstream.Requests().size() == 1);
  CHECK(fixture.mUpstream.Requests().front().find("X-Other") ==
        std::string::npos);
}

TEST_CASE("ChunkHeadersAndTrailersOverTheBoundAreRefused")
{
  BoundsFixture fixture;
  const std::string more(5000, 'x');
  for (const std::string& end :
       { "1;a=" + more, "1\r\nb\r\n0\r\nX-Other: " + more }) {
    CHECK(StatusOf(fixture.Call(kChunkedHead + end)) == "HTTP/1.1 431");
  }
  CHECK(fixture.mUpstream.Requests().empty());
}

// Guards against requests that are served beyond the bound, because each of
// them comes whole at once.
TEST_CASE("ARequestBeyondTheBoundInAllIsRefusedBeforeItRuns")
{
  BoundsFixture fixture({ .mTotalBytes = 60000 });
  fixture.mHangs = true;
  std::vector<std::unique_ptr<Caller>> callers;
  for (int i = 0; i < 8; ++i) {
    callers.push_back(std::make_unique<Caller>(fixture.mGateway.Where()));
    callers.back()->Send(
      RequestText("safe", std::to_string(i), std::string(9000, 'b')));
    CHECK(Eventually([&] {
      return callers.back()->HasData() ||
             fixture.mUpstream.Requests().size() == callers.size();
    }));
  }
  const std::size_t served = fixture.mUpstream.Requests().size();
  CHECK(served > 0);
  CHECK(served < callers.size());
  const std::string refusal = callers.back()->ReadAnswer();
  CHECK(StatusOf(refusal) == "HTTP/1.1 503");
  CHECK(refusal.find("\r\nRetry-After: ") != std::string::npos);
  CHECK(refusal.find("\r\nConnection: close") != std::string::npos);
  fixture.mGateway.OnRelay([&] {
    CHECK(fixture.mGateway.Core().mCounters.Value(
            observe::CounterId::kRefusedMemory) == callers.size() - served);
  });
}

// Guards against idle connections that shut others out.
TEST_CASE("AnIdleConnectionGivesWayToANewOne")
{
  BoundsFixture fixture({ .mConnections = 2 });
  Caller first(fixture.mGateway.Where());
  first.Send(RequestText("safe", "a"));
  CHECK(StatusOf(first.ReadAnswer()) == "HTTP/1.1 200");
  Caller second(fixture.mGateway.Where());
  second.Send(RequestText("safe", "b"));
  CHECK(StatusOf(second.ReadAnswer()) == "HTTP/1.1 200");
  Caller third(fixture.mGateway.Where());
  third.Send(RequestText("safe", "c"));
  CHECK(StatusOf(third.ReadAnswer()) == "HTTP/1.1 200");
  CHECK(first.IsClosed());
  second.Send(RequestText("safe", "d"));
  CHECK(StatusOf(second.ReadAnswer()) == "HTTP/1.1 200");
}

} // namespace peridotspool::gateway
