// ctest-labels: promise-whole-own-answer promise-at-most-once
// promise-refusal-did-not-run
#include "gateway/GatewayFixture.h"

#include <catch2/catch.hpp>

#include <map>
#include <random>

namespace peridotspool::gateway {

namespace {

using Then = Script::Then;

/** Returns the events of a stream with ids from aFrom to aTo. */
std::string
Events(int aFrom, int aTo)
{
  std::string text;
  for (int id = aFrom; id <= aTo; ++id) {
    text +=
      "id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) + "\n\n";
  }
  return text;
}

std::string
Chunk(const std::string& aBytes)
{
  char size[20];
  std::snprintf(size, sizeof(size), "%zx\r\n", aBytes.size());
  return size + aBytes + "\r\n";
}

const std::string kStreamHead =
  "HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Stamp: proof\r\nContent-Type: "
  "text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

/** Returns the body of a chunked response. */
std::string
Unchunked(const std::string& aAnswer)
{
  std::string body;
  std::size_t place = aAnswer.find("\r\n\r\n") + 4;
  while (place < aAnswer.size()) {
    const std::size_t size = std::stoul(aAnswer.substr(place), nullptr, 16);
    place = aAnswer.find("\r\n", place) + 2;
    body += aAnswer.substr(place, size);
    place += size + 2;
    if (size == 0) {
      break;
    }
  }
  return body;
}

} // namespace

TEST_CASE("ARequestAndItsResponsePassUnchanged")
{
  GatewayFixture gateway;
  ScriptedUpstream upstream(
    [](const std::string&) { return Script{ WholeAnswer("the answer") }; });
  gateway.Add("u", upstream.Where());
  Caller caller(gateway.Where());
  for (const char* id : { "a1", "a2", "a3" }) {
    caller.Send(RequestText("safe", id, "the body"));
    const std::string answer = caller.ReadAnswer();
    CHECK(StatusOf(answer) == "HTTP/1.1 200");
    CHECK(answer.find("X-Stamp: proof\r\n") != std::string::npos);
    CHECK(answer.find(std::string("X-Id: ") + id) != std::string::npos);
    CHECK(answer.ends_with("\r\n\r\nthe answer"));
  }
  const auto requests = upstream.Requests();
  REQUIRE(requests.size() == 3);
  CHECK(requests[0].starts_with("POST /safe/x?q=1 HTTP/1.1\r\n"));
  CHECK(requests[0].find("X-Expect: u\r\n") != std::string::npos);
  CHECK(requests[0].ends_with("\r\n\r\nthe body"));
  CHECK(upstream.Connections() == 1);
}

// Guards against a caller that gets the response to another caller's request.
// An upstream sends its response twice, the second time on a connection that
// already carries the next request, and those bytes are taken for the next
// response.
TEST_CASE("ALateResponseToAnotherRequestIsSkipped")
{
  GatewayFixture gateway;
  ScriptedUpstream upstream([](const std::string& aRequest) {
    const bool second = aRequest.find("X-Id: b2") != std::string::npos;
    const std::string late = "HTTP/1.1 200 OK\r\nX-Id: b1\r\nX-Stamp: "
                             "old\r\nContent-Length: 3\r\n\r\nold";
    return Script{ (second ? late : "") + WholeAnswer("own") };
  });
  gateway.Add("u", upstream.Where());
  Caller caller(gateway.Where());
  caller.Send(RequestText("once", "b1"));
  CHECK(caller.ReadAnswer().ends_with("own"));
  caller.Send(RequestText("once", "b2"));
  const std::string answer = caller.ReadAnswer();
  CHECK(answer.ends_with("own"));
  CHECK(answer.find("old") == std::string::npos);
}

// Guards against a non-idempotent request that runs twice. An upstream runs it,
// the connection breaks before the response, and the request is treated as one
// that did not run.
TEST_CASE("ALostResponseIsRetriedOnlyForIdempotentRequests")
{
  for (const Then then : { Then::kClose, Then::kReset }) {
    GatewayFixture gateway;
    std::atomic<int> runs{ 0 };
    const auto once = [&](const std::string&) {
      const bool first = ++runs == 1;
      return first ? Script{ "HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Stamp: "
                             "p\r\nContent-Length: 10\r\n\r\nhalf",
                             then }
                   : Script{ WholeAnswer("whole") };
    };
    ScriptedUpstream one(once);
    ScriptedUpstream two(once);
    gateway.Add("u1", one.Where());
    gateway.Add("u2", two.Where());
    Caller caller(gateway.Where());
    caller.Send(RequestText("safe", "c1"));
    CHECK(caller.ReadAnswer().ends_with("whole"));
    CHECK(runs == 2);
    runs = 0;
    caller.Send(RequestText("once", "c2"));
    CHECK(StatusOf(caller.ReadAnswer()) == "HTTP/1.1 502");
    CHECK(runs == 1);
  }
}

TEST_CASE("ARefusalHasRetryAfterAndNoStamp")
{
  GatewayFixture gateway;
  ScriptedUpstream upstream([](const std::string&) {
    return Script{ "HTTP/1.1 503 Full\r\nX-Id: {id}\r\nX-Not-Run: "
                   "1\r\nContent-Length: 0\r\n\r\n" };
  });
  gateway.Add("u", upstream.Where());
  Caller caller(gateway.Where());
  caller.Send(RequestText("once", "d1"));
  const std::string answer = caller.ReadAnswer();
  CHECK(StatusOf(answer) == "HTTP/1.1 503");
  CHECK(answer.find("Retry-After: ") != std::string::npos);
  CHECK(answer.find("X-Stamp") == std::string::npos);
}

TEST_CASE("AnUpstreamsErrorResponseIsRelayedUnchanged")
{
  GatewayFixture gateway;
  ScriptedUpstream upstream(
    [](const std::string&) { return Script{ WholeAnswer("no", 500) }; });
  gateway.Add("u", upstream.Where());
  Caller caller(gateway.Where());
  caller.Send(RequestText("once", "e1"));
  const std::string answer = caller.ReadAnswer();
  CHECK(StatusOf(answer) == "HTTP/1.1 500");
  CHECK(answer.find("X-Stamp: proof") != std::string::npos);
  CHECK(upstream.Requests().size() == 1);
}

TEST_CASE("ASuccessWithoutStampIsRejected")
{
  GatewayFixture gateway;
  ScriptedUpstream upstream([](const std::string&) {
    return Script{
      "HTTP/1.1 200 OK\r\nX-Id: {id}\r\nContent-Length: 2\r\n\r\nhi"
    };
  });
  gateway.Add("u", upstream.Where());
  Caller caller(gateway.Where());
  caller.Send(RequestText("once", "f1"));
  CHECK(StatusOf(caller.ReadAnswer()) == "HTTP/1.1 502");
}

// Guards against a truncated response without a length that is relayed as
// complete: the connection is reset in the middle of it, and any end of the
// connection is taken for the end of the response.
TEST_CASE("AResponseWithoutLengthIsCompleteOnlyAfterACleanClose")
{
  const std::string bytes =
    "HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Stamp: p\r\n\r\nsome bytes";
  GatewayFixture gateway;
  std::atomic<bool> reset{ false };
  ScriptedUpstream upstream([&](const std::string&) {
    return Script{ bytes, reset ? Then::kReset : Then::kClose };
  });
  gateway.Add("u", upstream.Where());
  Caller caller(gateway.Where());
  caller.Send(RequestText("once", "g1"));
  const std::string whole = caller.ReadAnswer();
  CHECK(StatusOf(whole) == "HTTP/1.1 200");
  CHECK(whole.ends_with("\r\n\r\nsome bytes"));
  reset = true;
  std::this_thread::sleep_for(std::chrono::milliseconds(60));
  caller.Send(RequestText("once", "g2"));
  CHECK(StatusOf(caller.ReadAnswer()) == "HTTP/1.1 502");
}

// Guards against a resumed stream that lacks an event or contains one twice. An
// upstream fails in the middle of an event, another one resumes after the last
// event that the caller has, and bytes are relayed without regard to the
// boundaries of events.
TEST_CASE("ABrokenStreamIsResumedAtAnotherUpstreamInTheSameResponse")
{
  GatewayFixture gateway;
  const auto serve = [](const std::string& aRequest) {
    const std::size_t place = aRequest.find("Last-Event-Id: ");
    if (place == std::string::npos) {
      return Script{ kStreamHead + Chunk(Events(1, 3) + "id: 4\nda"),
                     Then::kReset };
    }
    const int last = std::stoi(aRequest.substr(place + 15));
    return Script{ kStreamHead + Chunk(Events(last + 1, 6)) + "0\r\n\r\n" };
  };
  ScriptedUpstream one(serve);
  ScriptedUpstream two(serve);
  gateway.Add("u1", one.Where());
  gateway.Add("u2", two.Where());
  Caller caller(gateway.Where());
  caller.Send(RequestText("stream", "h1"));
  const std::string answer = caller.ReadAnswer();
  CHECK(Unchunked(answer) == Events(1, 6));
  CHECK(one.Requests().size() + two.Requests().size() == 2);
}

TEST_CASE("AStreamThatCannotBeResumedEndsWithoutTheLastChunk")
{
  GatewayFixture gateway;
  ScriptedUpstream upstream([](const std::string&) {
    return Script{ kStreamHead + Chunk(Events(1, 3)), Then::kReset };
  });
  gateway.Add("u", upstream.Where());
  Caller caller(gateway.Where());
  caller.Send(RequestText("stream", "i1"));
  const std::string answer = caller.ReadTo("\r\n0\r\n\r\n");
  CHECK(answer.find("id: 3\n") != std::string::npos);
  CHECK_FALSE(answer.ends_with("0\r\n\r\n"));
  CHECK(caller.IsClosed());
}

TEST_CASE("ACallersDisconnectClosesItsUpstreamConnection")
{
  GatewayFixture gateway;
  ScriptedUpstream upstream([](const std::string&) {
    return Script{ kStreamHead + Chunk(Events(1, 1)), Then::kHang };
  });
  gateway.Add("u", upstream.Where());
  Caller caller(gateway.Where());
  caller.Send(RequestText("stream", "j1"));
  caller.ReadTo("id: 1\n");
  caller.Close();
  CHECK(Eventually([&] { return upstream.ClosedWhileHanging() == 1; }));
}

// Guards against a response that a planned stop truncates. The last response is
// complete and queued, and the process exits before its caller has read it,
// because it only checks that no exchange is left.
TEST_CASE("AGatewayIsNotQuietWhileResponseBytesAreQueued")
{
  GatewayFixture gateway;
  const std::string large(6U << 20, 'x');
  ScriptedUpstream upstream(
    [&](const std::string&) { return Script{ WholeAnswer(large) }; });
  gateway.Add("u", upstream.Where());
  CHECK(gateway.IsQuiet());
  Caller caller(gateway.Where());
  caller.Send(RequestText("once", "q1"));
  REQUIRE(Eventually([&] { return upstream.Requests().size() == 1; }));
  REQUIRE(Eventually([&] { return gateway.Exchanges() == 0; }));
  CHECK_FALSE(gateway.IsQuiet());
  CHECK(caller.ReadAnswer().ends_with(large));
  CHECK(Eventually([&] { return gateway.IsQuiet(); }));
}

TEST_CASE("ARequestPastItsDeadlineGetsAGatewayTimeout")
{
  GatewayFixture gateway;
  ScriptedUpstream upstream([](const std::string&) {
    return Script{ "", Then::kHang };
  });
  gateway.Add("u", upstream.Where());
  Caller caller(gateway.Where());
  const auto before = std::chrono::steady_clock::now();
  caller.Send(RequestText("once", "k1"));
  CHECK(StatusOf(caller.ReadAnswer()) == "HTTP/1.1 504");
  const auto took = std::chrono::steady_clock::now() - before;
  CHECK(took >= std::chrono::milliseconds(990));
  CHECK(Eventually([&] { return upstream.ClosedWhileHanging() == 1; }));
}

// Guards against request smuggling: contradictory lengths and encodings are
// forwarded, two parsers find different ends of the request, and an upstream
// runs a request that no caller has sent.
TEST_CASE("AmbiguousFramingIsRejectedAndNothingIsForwarded")
{
  GatewayFixture gateway;
  ScriptedUpstream upstream(
    [](const std::string&) { return Script{ WholeAnswer("ran") }; });
  gateway.Add("u", upstream.Where());
  const std::string inner = "POST /once/evil HTTP/1.1\r\nHost: "
                            "h.example\r\nX-Id: evil\r\n\r\n";
  const std::string start = "POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Id: "
                            "l1\r\n";
  const std::vector<std::string> hostile{
    start + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" +
      inner,
    start + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n" +
      inner,
    start + "Content-Length: 0\r\nContent-Length: " +
      std::to_string(inner.size()) + "\r\n\r\n" + inner,
    start + "Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n" + inner,
    start + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n" + inner,
    start + "Content-Length: -1\r\n\r\n" + inner,
    start + "Content-Length : 0\r\n\r\n" + inner,
    start + "Host: other.example\r\nContent-Length: 0\r\n\r\n" + inner,
    start + "Transfer-Encoding: chunked\r\n\r\nzz\r\n" + inner,
    "POST /once/x HTTP/1.1\r\nX-Id: l1\r\nContent-Length: 0\r\n\r\n" + inner,
    "\x16\x03\x01 not http at all\r\n\r\n" + inner,
  };
  for (const std::string& bytes : hostile) {
    INFO(bytes);
    Caller caller(gateway.Where());
    caller.Send(bytes);
    CHECK(StatusOf(caller.ReadTo("\r\n\r\n")) == "HTTP/1.1 400");
    for (const std::string& request : upstream.Requests()) {
      CHECK(request.find("evil") == std::string::npos);
    }
  }
  CHECK(upstream.Requests().empty());
}

TEST_CASE("AnOversizedRequestIsRejected")
{
  GatewayFixture gateway;
  Caller body(gateway.Where());
  body.Send(RequestText("once", "m1", std::string(20000, 'x')));
  CHECK(StatusOf(body.ReadTo("\r\n\r\n")) == "HTTP/1.1 413");
  Caller head(gateway.Where());
  head.Send("GET /safe/x HTTP/1.1\r\nHost: h.example\r\nX-Long: " +
            std::string(9000, 'x') + "\r\n\r\n");
  CHECK(StatusOf(head.ReadTo("\r\n\r\n")) == "HTTP/1.1 431");
}

// An upstream sends randomly corrupted responses. A caller gets either a
// complete and stamped response to its own request, or no success.
TEST_CASE("CorruptUpstreamBytesNeverYieldAnotherRequestsResponse")
{
  GatewayFixture gateway;
  std::mt19937 random(20261202);
  std::mutex mutex;
  ScriptedUpstream upstream([&](const std::string&) {
    const std::lock_guard lock(mutex);
    std::string bytes = WholeAnswer("0123456789");
    const auto cuts = random() % 4;
    for (unsigned i = 0; i < cuts; ++i) {
      const std::size_t place = random() % bytes.size();
      switch (random() % 3) {
        case 0:
          bytes.resize(place + 1);
          break;
        case 1:
          bytes[place] = static_cast<char>(random() % 256);
          break;
        default:
          bytes.insert(place, 1, static_cast<char>(random() % 256));
      }
    }
    return Script{ bytes, random() % 2 == 0 ? Then::kClose : Then::kReset };
  });
  gateway.Add("u", upstream.Where());
  std::map<std::string, int> seen;
  for (int i = 0; i < 300; ++i) {
    Caller caller(gateway.Where());
    const std::string id = "n" + std::to_string(i);
    caller.Send(RequestText("once", id));
    const std::string answer = caller.ReadAnswer();
    ++seen[StatusOf(answer)];
    if (StatusOf(answer) == "HTTP/1.1 200") {
      INFO(answer);
      CHECK(answer.find("X-Id: " + id + "\r\n") != std::string::npos);
    }
  }
  CHECK(seen["HTTP/1.1 200"] > 30);
  CHECK(seen["HTTP/1.1 502"] > 30);
}

} // namespace peridotspool::gateway
