// ctest-labels: promise-refusal-did-not-run promise-whole-own-answer
#include "peridotspool/http/HttpClient.h"
#include "http/CallLog.h"
#include "http/RawSocket.h"

#include <catch2/catch.hpp>

#include <thread>

namespace peridotspool::http {

using test::CallLog;
using test::CallOutcome;
using test::RawListener;
using test::RawSocket;

namespace {

const std::string kWholeAnswer = "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\n"
                                 "abc";

HttpRequest
Get(const std::string& aPath)
{
  return { .mMethod = "GET", .mPath = aPath };
}

} // namespace

TEST_CASE("RefusedConnectionProvesThatNothingWasSent")
{
  Address nobody;
  {
    const RawListener closedAtOnce;
    nobody = closedAtOnce.LocalAddress();
  }
  CallLog log;
  HttpClient client({}, log.Handler());
  client.Start(1, nobody, Get("/"));
  const CallOutcome outcome = log.WaitFor(1);
  REQUIRE(outcome.mFailed);
  CHECK_FALSE(outcome.mFailed->mMayHaveBeenSent);
  CHECK_FALSE(outcome.mFailed->mTimedOut);
}

TEST_CASE("UnsendablePathFailsAsNotSent")
{
  RawListener listener;
  CallLog log;
  HttpClient client({}, log.Handler());
  client.Start(1, listener.LocalAddress(), Get("/a b\r\nx: y"));
  const CallOutcome outcome = log.WaitFor(1);
  REQUIRE(outcome.mFailed);
  CHECK_FALSE(outcome.mFailed->mMayHaveBeenSent);
}

TEST_CASE("CallsOverTheBoundFailAsNotSent")
{
  RawListener listener;
  CallLog log;
  HttpClient client({ .mMaxCalls = 1 }, log.Handler());
  client.Start(1, listener.LocalAddress(), Get("/"));
  client.Start(2, listener.LocalAddress(), Get("/"));
  const CallOutcome outcome = log.WaitFor(2);
  REQUIRE(outcome.mFailed);
  CHECK_FALSE(outcome.mFailed->mMayHaveBeenSent);
  CHECK_FALSE(log.Of(1).Ended());
}

TEST_CASE("PeerClosingBeforeItsAnswerMayHaveRunIt")
{
  // Symptom: a non-idempotent call runs twice.
  // Sequence: the request is written; the peer dies before it answers.
  // Cause: the failure is taken for one of a request that never arrived.
  RawListener listener;
  CallLog log;
  HttpClient client({}, log.Handler());
  client.Start(1, listener.LocalAddress(), Get("/"));
  const auto peer = listener.Accept();
  peer->ReadUntil("\r\n\r\n");
  peer->Close();
  const CallOutcome outcome = log.WaitFor(1);
  REQUIRE(outcome.mFailed);
  CHECK(outcome.mFailed->mMayHaveBeenSent);
}

// Guards against a truncated answer that looks complete: its connection is
// reset while the request is still being written, the write is told of that,
// and the answer, which has no length, ends as if the peer had closed.
TEST_CASE("AnAnswerWithoutALengthThatIsResetDuringTheUploadIsNotWhole")
{
  RawListener listener;
  CallLog log;
  HttpClient client({}, log.Handler());
  client.Start(1,
               listener.LocalAddress(),
               { .mMethod = "POST",
                 .mPath = "/",
                 .mHeaders = {},
                 .mBody = std::string(32 << 20, 'u') });
  const auto peer = listener.Accept();
  peer->ReadUntil("\r\n\r\n");
  peer->Send("HTTP/1.1 200 OK\r\n\r\npart");
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  peer->Reset();
  const CallOutcome outcome = log.WaitFor(1);
  INFO("expected a failed call, got the body '" << outcome.mBody << "'");
  CHECK(outcome.mFailed);
}

// Guards against an interim response that is taken for the answer, which then
// waits on the kept connection for the next call.
TEST_CASE("AnInterimResponseIsNotTheAnswer")
{
  RawListener listener;
  CallLog log;
  HttpClient client({}, log.Handler());
  client.Start(1, listener.LocalAddress(), Get("/"));
  const auto peer = listener.Accept();
  peer->ReadUntil("\r\n\r\n");
  peer->Send("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n" +
             kWholeAnswer);
  const CallOutcome outcome = log.WaitFor(1);
  REQUIRE(outcome.mDone);
  CHECK(outcome.mHead->mStatus == 200);
  CHECK(outcome.mBody == "abc");
}

TEST_CASE("InterimResponsesWithoutEndFailTheCall")
{
  RawListener listener;
  CallLog log;
  HttpClient client({}, log.Handler());
  client.Start(1, listener.LocalAddress(), Get("/"));
  const auto peer = listener.Accept();
  peer->ReadUntil("\r\n\r\n");
  for (int i = 0; i < 100; ++i) {
    peer->Send("HTTP/1.1 100 Continue\r\n\r\n");
  }
  CHECK(log.WaitFor(1).mFailed);
}

// Guards against an answer whose status is none of HTTP and that is passed on.
TEST_CASE("AnAnswerWithAnInvalidStatusFails")
{
  const std::string status = GENERATE("000", "099", "101", "600", "999");
  RawListener listener;
  CallLog log;
  HttpClient client({}, log.Handler());
  client.Start(1, listener.LocalAddress(), Get("/"));
  const auto peer = listener.Accept();
  peer->ReadUntil("\r\n\r\n");
  peer->Send("HTTP/1.1 " + status + " X\r\ncontent-length: 0\r\n\r\n");
  const CallOutcome outcome = log.WaitFor(1);
  INFO("expected a failed call for the status " << status);
  CHECK(outcome.mFailed);
  CHECK_FALSE(outcome.mHead);
}

// Guards against a head line that is no field and is joined with the field
// before it, so that the body's length is lost.
TEST_CASE("AnAnswerWithAContinuationLineFails")
{
  RawListener listener;
  CallLog log;
  HttpClient client({}, log.Handler());
  client.Start(1, listener.LocalAddress(), Get("/"));
  const auto peer = listener.Accept();
  peer->ReadUntil("\r\n\r\n");
  peer->Send("HTTP/1.1 200 OK\r\nx: y\r\n content-length: 3\r\n\r\nabc");
  peer->Close();
  CHECK(log.WaitFor(1).mFailed);
}

TEST_CASE("AnAnswerWithAnUnknownTransferEncodingIsNoAnswer")
{
  RawListener listener;
  CallLog log;
  HttpClient client({}, log.Handler());
  client.Start(1, listener.LocalAddress(), Get("/"));
  const auto peer = listener.Accept();
  peer->ReadUntil("\r\n\r\n");
  peer->Send("HTTP/1.1 200 OK\r\ntransfer-encoding: gzip, chunked\r\n\r\n"
             "3\r\nabc\r\n0\r\n\r\n");
  CHECK(log.WaitFor(1).mFailed);
}

TEST_CASE("PeerClosingMidBodyIsNoWholeAnswer")
{
  // Symptom: a caller is handed half an answer as if it were whole.
  // Sequence: head and part of the body arrive; the peer closes.
  // Cause: the connection's end is taken for the body's end.
  const std::string head = GENERATE(std::string("content-length: 10"),
                                    std::string("transfer-encoding: chunked"));
  RawListener listener;
  CallLog log;
  HttpClient client({}, log.Handler());
  client.Start(1, listener.LocalAddress(), Get("/"));
  const auto peer = listener.Accept();
  peer->ReadUntil("\r\n\r\n");
  peer->Send("HTTP/1.1 200 OK\r\n" + head + "\r\n\r\n4\r\nabcd\r\n");
  peer->Close();
  const CallOutcome outcome = log.WaitFor(1);
  CHECK_FALSE(outcome.mDone);
  REQUIRE(outcome.mFailed);
  CHECK(outcome.mFailed->mMayHaveBeenSent);
  CHECK(outcome.mHead);
}

TEST_CASE("SilentPeerTimesOut")
{
  // Symptom: a request hangs until its deadline though other upstreams idle.
  // Sequence: the connection goes silent, before or within the answer.
  // Cause: something between the two ends forgot the connection; no FIN comes.
  const bool withHead = GENERATE(false, true);
  RawListener listener;
  CallLog log;
  HttpClient client({ .mSilenceTimeout = std::chrono::milliseconds(100) },
                    log.Handler());
  client.Start(1, listener.LocalAddress(), Get("/"));
  const auto peer = listener.Accept();
  peer->ReadUntil("\r\n\r\n");
  if (withHead) {
    peer->Send("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nabc");
  }
  const CallOutcome outcome = log.WaitFor(1);
  REQUIRE(outcome.mFailed);
  CHECK(outcome.mFailed->mTimedOut);
  CHECK(outcome.mFailed->mMayHaveBeenSent);
}

// Guards against a request that reaches its peer after the call has failed: the
// connection is closed in order, and the kernel goes on sending what a
// partition has held up.
TEST_CASE("ACallThatEndsWithoutItsAnswerResetsItsConnection")
{
  RawListener listener;
  CallLog log;
  HttpClient client({}, log.Handler());
  const bool isCancelled = GENERATE(true, false);
  client.Start(1,
               listener.LocalAddress(),
               Get("/"),
               std::chrono::milliseconds(isCancelled ? 60000 : 100));
  const auto peer = listener.Accept();
  peer->ReadUntil("\r\n\r\n");
  if (isCancelled) {
    client.Cancel(1);
  } else {
    REQUIRE(log.WaitFor(1).mFailed);
  }
  INFO("expected a reset after " << (isCancelled ? "Cancel" : "the time-out")
                                 << ", not an end in order");
  CHECK(peer->WaitForReset());
}

TEST_CASE("CancelledCallGivesNoLaterEventsAndItsBytesReachNoOther")
{
  // Symptom: a caller gets a piece of somebody else's answer.
  // Sequence: call 1 is cancelled mid-answer; call 2 to the same peer starts;
  // the rest of 1's answer arrives.
  // Cause: the cancelled call's connection is used again.
  RawListener listener;
  CallLog log;
  HttpClient client({}, log.Handler());
  client.Start(1, listener.LocalAddress(), Get("/first"));
  const auto first = listener.Accept();
  first->ReadUntil("\r\n\r\n");
  first->Send("HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nabc");
  REQUIRE(test::Eventually([&] { return log.Of(1).mBody == "abc"; }));
  client.Cancel(1);
  client.Start(2, listener.LocalAddress(), Get("/second"));
  first->Send("xyz");
  const auto second = listener.Accept();
  INFO("the second call must come on a connection of its own");
  CHECK(second->ReadUntil("\r\n\r\n").find("GET /second ") == 0);
  second->Send(kWholeAnswer);
  CHECK(log.WaitFor(2).mBody == "abc");
  CHECK(log.Of(1).mBody == "abc");
  CHECK_FALSE(log.Of(1).Ended());
}

TEST_CASE("CallCancelledBeforeItRunsIsNeverSent")
{
  RawListener listener;
  CallLog log;
  HttpClient client({}, log.Handler());
  client.Start(1, listener.LocalAddress(), Get("/cancelled"));
  client.Cancel(1);
  client.Start(2, listener.LocalAddress(), Get("/kept"));
  std::string request;
  while (request.find("/kept") == std::string::npos) {
    const auto peer = listener.Accept();
    request = peer->ReadUntil("\r\n\r\n");
    peer->Send(kWholeAnswer);
  }
  CHECK(log.WaitFor(2).mDone);
  CHECK_FALSE(log.Of(1).Ended());
}

TEST_CASE("ConnectionIsKeptForTheNextCall")
{
  RawListener listener;
  CallLog log;
  HttpClient client({}, log.Handler());
  client.Start(1, listener.LocalAddress(), Get("/1"));
  const auto peer = listener.Accept();
  peer->ReadUntil("\r\n\r\n");
  peer->Send(kWholeAnswer);
  REQUIRE(log.WaitFor(1).mDone);
  client.Start(2, listener.LocalAddress(), Get("/2"));
  CHECK(peer->ReadUntil("\r\n\r\n").find("GET /2 ") == 0);
  peer->Send(kWholeAnswer);
  CHECK(log.WaitFor(2).mBody == "abc");
}

TEST_CASE("KeptConnectionThatThePeerClosedIsReplaced")
{
  // Symptom: the first call after a pause fails though the peer is well.
  // Sequence: the peer closes an idle connection; a call takes it.
  // Cause: the close is noticed only when the request is written.
  RawListener listener;
  CallLog log;
  HttpClient client({}, log.Handler());
  client.Start(1, listener.LocalAddress(), Get("/1"));
  const auto peer = listener.Accept();
  peer->ReadUntil("\r\n\r\n");
  peer->Send(kWholeAnswer);
  REQUIRE(log.WaitFor(1).mDone);
  peer->Close();
  client.Start(2, listener.LocalAddress(), Get("/2"));
  const auto fresh = listener.Accept();
  fresh->ReadUntil("\r\n\r\n");
  fresh->Send(kWholeAnswer);
  CHECK(log.WaitFor(2).mDone);
}

TEST_CASE("UnaskedBytesOnAKeptConnectionAreNoAnswer")
{
  // Symptom: a caller gets an answer that belongs to nobody or another.
  // Sequence: after a whole answer the peer sends a second one, unasked.
  // Cause: the next call on that connection takes it for its own.
  RawListener listener;
  CallLog log;
  HttpClient client({}, log.Handler());
  client.Start(1, listener.LocalAddress(), Get("/1"));
  const auto peer = listener.Accept();
  peer->ReadUntil("\r\n\r\n");
  peer->Send(kWholeAnswer + "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nxyz");
  REQUIRE(log.WaitFor(1).mDone);
  client.Start(2, listener.LocalAddress(), Get("/2"));
  const auto fresh = listener.Accept();
  fresh->ReadUntil("\r\n\r\n");
  fresh->Send(kWholeAnswer);
  CHECK(log.WaitFor(2).mBody == "abc");
}

TEST_CASE("ResponseOverABoundEndsTheCall")
{
  const std::string tooMuch =
    GENERATE(std::string("content-length: 11\r\n\r\n01234567890"),
             std::string("transfer-encoding: chunked\r\n\r\n"
                         "8\r\n01234567\r\n8\r\n01234567\r\n0\r\n\r\n"),
             "x-long: " + std::string(2000, 'x') + "\r\n\r\n");
  RawListener listener;
  CallLog log;
  HttpClient client({ .mMaxHeaderBytes = 1024, .mMaxBodyBytes = 10 },
                    log.Handler());
  client.Start(1, listener.LocalAddress(), Get("/"));
  const auto peer = listener.Accept();
  peer->ReadUntil("\r\n\r\n");
  peer->Send("HTTP/1.1 200 OK\r\n" + tooMuch);
  const CallOutcome outcome = log.WaitFor(1);
  CHECK_FALSE(outcome.mDone);
  CHECK(outcome.mFailed);
}

} // namespace peridotspool::http
