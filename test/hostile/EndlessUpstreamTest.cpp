// ctest-labels: hostile
// Upstreams that send bytes without end in place of an answer.

#include "hostile/EndlessUpstream.h"
#include "hostile/HostileSystem.h"
#include "http/Eventually.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <thread>

namespace peridotspool::hostile {

namespace {

const std::string kOwnHead = "HTTP/1.1 200 OK\r\nPeridotspool-Request-Id: {id}"
                             "\r\nPeridotspool-Response-Stamp: proof\r\n";

const EndlessAnswer kAnswers[] = {
  { .mHead = {}, .mPiece = "no answer at all" },
  { .mHead = "HTTP/1.1 200 ", .mPiece = "reason " },
  { .mHead = kOwnHead, .mPiece = "X-Field: value\r\n" },
  { .mHead = kOwnHead + "X-Field: ", .mPiece = "value" },
  { .mHead = {}, .mPiece = "HTTP/1.1 100 Continue\r\n\r\n" },
  { .mHead = kOwnHead + "\r\n", .mPiece = "body" },
  { .mHead = kOwnHead + "Content-Length: 99999999999\r\n\r\n",
    .mPiece = "body" },
  { .mHead = kOwnHead + "Transfer-Encoding: chunked\r\n\r\n",
    .mPiece = "1\r\nx\r\n" },
  { .mHead = kOwnHead + "Transfer-Encoding: chunked\r\n\r\n1;",
    .mPiece = "extension" },
  { .mHead = kOwnHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
    .mPiece = "X-Trailer: value\r\n" },
};

const EndlessAnswer kStreams[] = {
  { .mHead = kOwnHead + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ",
    .mPiece = "one event" },
  { .mHead = kOwnHead + "Content-Type: text/event-stream\r\n\r\n",
    .mPiece = "id: 1\ndata: x\n\n" },
};

/** Many callers at once for each answer, each from an upstream of its own;
 * aReads: whether the callers read theirs. */
template<std::size_t Count>
void
CheckAll(int aBlock,
         soak::Kind aKind,
         const EndlessAnswer (&aAnswers)[Count],
         bool aReads)
{
  constexpr std::size_t kCallers = 40;
  // The system has others for its own ends.
  constexpr int kFirstUpstream = 20;
  constexpr std::chrono::seconds kPatience{ 20 };
  constexpr std::chrono::seconds kHold{ 2 };
  const std::string name = soak::NameOf(aKind);
  HostileSystem system(aBlock);
  system.Start();
  const auto watch = system.WatchEntry();
  int number = kFirstUpstream;
  for (const EndlessAnswer& answer : aAnswers) {
    EndlessUpstream endless(system.Where(), ++number, name, answer);
    const ClientScript script{ .mHead =
                                 "POST /" + name +
                                 "/x HTTP/1.1\r\nHost: " + soak::kHost +
                                 "\r\nPeridotspool-Request-Id: endless-" +
                                 std::to_string(number) +
                                 "-{}\r\nPeridotspool-Deadline-Ms: 5000\r\n"
                                 "Content-Length: 4\r\n\r\n",
                               .mPiece = "body",
                               .mPieces = 1,
                               .mReads = aReads };
    INFO("expected requests to reach an upstream whose answers begin with '"
         << answer.mHead << "' and go on with '" << answer.mPiece << "'");
    std::string last;
    const bool reached = test::Eventually(
      [&] {
        HostileCrowd one(system.Host(), soak::kCallerPort, 1, script);
        one.Send();
        one.ReadAnswers();
        last = one.Outcomes().front().mAnswer;
        return endless.Requests() > 0;
      },
      kPatience);
    INFO("the last answer was '" << last << "'");
    CHECK(reached);
    HostileCrowd crowd(system.Host(), soak::kCallerPort, kCallers, script);
    crowd.Send();
    crowd.ReadAnswers();
    std::this_thread::sleep_for(kHold);
    system.CheckHolds(*watch);
  }
}

} // namespace

// Guards against an entry that keeps what a faulty upstream sends until its
// memory is used up, and ends with the requests of all other callers.
TEST_CASE("EndlessAnswersFillNoMemory")
{
  CheckAll(57, soak::Kind::kOnce, kAnswers, true);
}

TEST_CASE("EndlessStreamsFillNoMemory")
{
  CheckAll(58, soak::Kind::kStream, kStreams, false);
}

} // namespace peridotspool::hostile
