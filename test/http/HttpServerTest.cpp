// ctest-labels: unit promise-graceful-stop
#include "peridotspool/http/HttpServer.h"
#include "http/CallLog.h"
#include "http/RawSocket.h"

#include <atomic>
#include <catch2/catch.hpp>

namespace peridotspool::http {

using test::CallLog;
using test::Eventually;
using test::RawSocket;

namespace {

/** A server that runs aOnRequest, with what a test wants to look at. */
class TestServer
{
public:
  using OnRequest = std::function<void(HttpServer&, ExchangeId, HttpRequest)>;

  explicit TestServer(OnRequest aOnRequest, HttpServerOptions aOptions = {})
    : mServer(
        [&] {
          aOptions.mListen = { "127.0.0.1", 0 };
          return aOptions;
        }(),
        [this, aOnRequest](ExchangeId aExchange, HttpRequest aRequest) {
          ++mHandled;
          aOnRequest(mServer, aExchange, std::move(aRequest));
        },
        [this](ExchangeId) { ++mGone; })
  {
    LastReason reason;
    REQUIRE(mServer.Start(reason));
  }

  Address At() const { return mServer.LocalAddress(); }

  std::atomic<int> mHandled = 0;
  std::atomic<int> mGone = 0;
  HttpServer mServer;
};

void
Echo(HttpServer& aServer, ExchangeId aExchange, HttpRequest aRequest)
{
  aServer.Respond(aExchange,
                  { .mBody = aRequest.mPath + "?" + aRequest.mQuery["q"] + "|" +
                             aRequest.mHeaders["x-mark"] + "|" +
                             aRequest.mBody });
}

void
IgnoreRequest(HttpServer&, ExchangeId, HttpRequest)
{
}

std::string
Post(const std::string& aBody)
{
  return "POST / HTTP/1.1\r\ncontent-length: " + std::to_string(aBody.size()) +
         "\r\n\r\n" + aBody;
}

} // namespace

TEST_CASE("RequestReachesTheHandlerWhole")
{
  TestServer server(Echo);
  CallLog log;
  HttpClient client({}, log.Handler());
  client.Start(1,
               server.At(),
               { .mMethod = "POST",
                 .mPath = "/a/b",
                 .mQuery = { { "q", "x y&z" } },
                 .mHeaders = { { "X-Mark", "m\r\nx-other: n" } },
                 .mBody = std::string(100000, 'b') });
  const auto outcome = log.WaitFor(1);
  REQUIRE(outcome.mDone);
  CHECK(outcome.mBody ==
        "/a/b?x y&z|m  x-other: n|" + std::string(100000, 'b'));
}

TEST_CASE("BodyOverBoundIsRefusedBeforeTheHandler")
{
  TestServer server(Echo, { .mMaxBodyBytes = 1000 });
  const auto caller = RawSocket::Connect(server.At());
  caller->Send(Post(std::string(500000, 'x')));
  CHECK(caller->ReadAll().find("HTTP/1.1 413 ") == 0);
  CHECK(server.mHandled == 0);
  CHECK(server.mServer.RefusedForBounds() == 1);
}

TEST_CASE("ChunkedBodyOverBoundIsRefusedBeforeTheHandler")
{
  TestServer server(Echo, { .mMaxBodyBytes = 1000 });
  const auto caller = RawSocket::Connect(server.At());
  caller->Send("POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n");
  caller->Send("7d0\r\n" + std::string(2000, 'x') + "\r\n0\r\n\r\n");
  CHECK(caller->ReadAll().find("HTTP/1.1 413 ") == 0);
  CHECK(server.mHandled == 0);
}

TEST_CASE("HeaderOverBoundIsRefusedBeforeTheHandler")
{
  TestServer server(Echo, { .mMaxHeaderBytes = 1000 });
  const auto caller = RawSocket::Connect(server.At());
  caller->Send("GET / HTTP/1.1\r\nx: " + std::string(200000, 'x') + "\r\n\r\n");
  CHECK(caller->ReadAll().find("HTTP/1.1 431 ") == 0);
  CHECK(server.mHandled == 0);
  CHECK(server.mServer.RefusedForBounds() == 1);
}

TEST_CASE("MalformedRequestIsRefused")
{
  TestServer server(Echo);
  const auto caller = RawSocket::Connect(server.At());
  caller->Send("nonsense\r\n\r\n");
  CHECK(caller->ReadAll().find("HTTP/1.1 400 ") == 0);
  CHECK(server.mHandled == 0);
}

TEST_CASE("ConnectionsOverBoundAreTurnedAwayWhileTheOthersAreInUse")
{
  TestServer server(IgnoreRequest, { .mMaxConnections = 1 });
  const auto first = RawSocket::Connect(server.At());
  first->Send(Post("1"));
  REQUIRE(Eventually([&] { return server.mHandled == 1; }));
  const auto second = RawSocket::Connect(server.At());
  const std::string refusal = second->ReadAll();
  CHECK(refusal.find("HTTP/1.1 503 ") == 0);
  CHECK(refusal.find("\r\nretry-after: ") != std::string::npos);
  CHECK(server.mServer.RefusedForBounds() == 1);
  CHECK(server.mServer.OpenExchanges() == 1);
}

// Guards against idle connections that shut others out.
TEST_CASE("AnIdleConnectionOverTheBoundGivesWay")
{
  TestServer server(Echo, { .mMaxConnections = 1 });
  const auto first = RawSocket::Connect(server.At());
  first->Send(Post("1"));
  CHECK(first->ReadUntil("|1").find("HTTP/1.1 200 ") == 0);
  const auto second = RawSocket::Connect(server.At());
  second->Send(Post("2"));
  CHECK(second->ReadUntil("|2").find("HTTP/1.1 200 ") == 0);
  CHECK(first->ReadAll().empty());
  CHECK(server.mServer.RefusedForBounds() == 1);
}

// Guards against bodies that hold memory without ever becoming requests.
TEST_CASE("AStalledBodyGivesWayToOthers")
{
  TestServer server(Echo,
                    { .mMaxBodyBytes = 1 << 20, .mMaxHeldBytes = 1 << 20 });
  const auto stalled = RawSocket::Connect(server.At());
  stalled->Send("POST / HTTP/1.1\r\ncontent-length: 700000\r\n\r\n" +
                std::string(600000, 'x'));
  std::this_thread::sleep_for(std::chrono::milliseconds(1100));
  const auto other = RawSocket::Connect(server.At());
  other->Send(Post(std::string(600000, 'y')));
  CHECK(other->ReadUntil("yyy").find("HTTP/1.1 200 ") == 0);
  const std::string refusal = stalled->ReadAll();
  CHECK(refusal.find("HTTP/1.1 503 ") == 0);
  CHECK(refusal.find("\"ran\":\"no\"") != std::string::npos);
  CHECK(server.mHandled == 1);
}

// Guards against a trailer that stands for a field of the header.
TEST_CASE("TrailersAreNoFieldsOfTheRequest")
{
  TestServer server(Echo);
  const auto caller = RawSocket::Connect(server.At());
  caller->Send("POST / HTTP/1.1\r\nx-mark: a\r\ntransfer-encoding: chunked\r\n"
               "\r\n1\r\nz\r\n0\r\nx-mark: b\r\n\r\n");
  CHECK(caller->ReadUntil("|z").find("|a|z") != std::string::npos);
}

TEST_CASE("RequestsOfOneConnectionAreAnsweredInOrder")
{
  TestServer server(Echo);
  const auto caller = RawSocket::Connect(server.At());
  caller->Send(Post("one") + Post("two"));
  const std::string answers = caller->ReadUntil("two");
  CHECK(answers.find("one") < answers.find("two"));
  CHECK(Eventually([&] { return server.mServer.OpenExchanges() == 0; }));
}

TEST_CASE("UnfinishedRequestIsClosedAfterTheIdleTimeout")
{
  TestServer server(Echo, { .mIdleTimeout = std::chrono::milliseconds(50) });
  const auto caller = RawSocket::Connect(server.At());
  caller->Send("POST / HTTP/1.1\r\ncontent-length: 5\r\n\r\nab");
  CHECK(caller->ReadAll().empty());
  CHECK(server.mHandled == 0);
}

TEST_CASE("StreamArrivesWholeAndTheConnectionIsKept")
{
  TestServer server([](HttpServer& aServer, ExchangeId aTo, HttpRequest) {
    aServer.BeginStream(aTo, { .mStatus = 201 });
    aServer.SendPiece(aTo, "one,");
    aServer.SendPiece(aTo, std::string(300000, 'x'));
    aServer.EndStream(aTo);
    aServer.SendPiece(aTo, "after the end");
  });
  CallLog log;
  HttpClient client({}, log.Handler());
  for (const ClientCallId call : { 1, 2 }) {
    client.Start(call, server.At(), { .mMethod = "GET", .mPath = "/" });
    const auto outcome = log.WaitFor(call);
    REQUIRE(outcome.mDone);
    CHECK(outcome.mHead->mStatus == 201);
    CHECK(outcome.mBody == "one," + std::string(300000, 'x'));
  }
}

TEST_CASE("SlowReaderIsDropped")
{
  // Symptom: an entry's memory grows until it is killed.
  // Sequence: a caller asks for a stream and stops reading it.
  // Cause: pieces queue towards it without a bound.
  TestServer server(
    [](HttpServer& aServer, ExchangeId aTo, HttpRequest) {
      aServer.BeginStream(aTo, {});
      for (int i = 0; i < 200; ++i) {
        aServer.SendPiece(aTo, std::string(100000, 'x'));
      }
    },
    { .mMaxQueuedBytes = 1 << 20 });
  const auto caller = RawSocket::Connect(server.At());
  caller->Send(Post(""));
  CHECK(Eventually([&] { return server.mGone == 1; }));
  CHECK(server.mServer.OpenExchanges() == 0);
}

TEST_CASE("CallerGoingAwayIsNoticedWithoutAWrite")
{
  // Symptom: work goes on for a caller that is not there any more.
  // Sequence: the caller closes while its answer is not ready.
  // Cause: nothing is read or written meanwhile.
  TestServer server(IgnoreRequest);
  const auto caller = RawSocket::Connect(server.At());
  caller->Send(Post("x"));
  REQUIRE(Eventually([&] { return server.mHandled == 1; }));
  caller->Close();
  CHECK(Eventually([&] { return server.mGone == 1; }));
}

TEST_CASE("StopSendsWhatIsQueued")
{
  // Symptom: a planned stop cuts answers that were already made.
  // Sequence: a large answer is handed over; the server is stopped.
  // Cause: the stop closes connections with bytes still queued.
  const std::string large(8 << 20, 'x');
  std::atomic<bool> answered = false;
  TestServer server([&](HttpServer& aServer, ExchangeId aTo, HttpRequest) {
    aServer.Respond(aTo, { .mBody = large });
    answered = true;
  });
  const auto caller = RawSocket::Connect(server.At());
  caller->Send(Post("x"));
  REQUIRE(Eventually([&] { return answered.load(); }));
  std::thread stopper([&] { server.mServer.Stop(); });
  const std::string answer = caller->ReadAll();
  stopper.join();
  CHECK(answer.size() > large.size());
  CHECK(answer.ends_with("xxx"));
}

TEST_CASE("AfterStopAcceptingExchangesEndAndConnectionsClose")
{
  std::atomic<ExchangeId> open = 0;
  TestServer server(
    [&](HttpServer&, ExchangeId aExchange, HttpRequest) { open = aExchange; });
  const auto caller = RawSocket::Connect(server.At());
  caller->Send(Post("x"));
  REQUIRE(Eventually([&] { return open != 0; }));
  server.mServer.StopAccepting();
  server.mServer.Respond(open, { .mBody = "late but whole" });
  CHECK(caller->ReadAll().ends_with("late but whole"));
  const auto refused = RawSocket::Connect(server.At());
  refused->Send(Post("x"));
  CHECK(refused->ReadAll().empty());
}

} // namespace peridotspool::http
