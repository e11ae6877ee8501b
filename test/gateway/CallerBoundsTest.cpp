// ctest-labels: gateway promise-refusal-did-not-run
// Bounds on what callers send, and what they cost the others.

#include "gateway/GatewayFixture.h"

#include <catch2/catch.hpp>

#include <memory>
#include <vector>

namespace peridotspool::gateway {

namespace {

const std::string kChunkedHead =
  "POST /safe/x HTTP/1.1\r\nHost: h.example\r\nX-Id: r\r\nX-Deadline: 1000\r\n"
  "Transfer-Encoding: chunked\r\n\r\n";

/** An entry before a sound upstream. */
struct BoundsFixture
{
  BoundsFixture() { mGateway.Add("sound", mUpstream.Where()); }

  std::string Call(const std::string& aRequest)
  {
    Caller caller(mGateway.Where());
    caller.Send(aRequest);
    return caller.ReadAnswer();
  }

  ScriptedUpstream mUpstream{ [](const std::string&) {
    return Script{ .mAnswer = WholeAnswer("done") };
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

} // namespace peridotspool::gateway
