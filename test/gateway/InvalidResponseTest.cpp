// ctest-labels: promise-whole-own-answer
#include "gateway/CutAnswer.h"

#include <catch2/catch.hpp>

namespace peridotspool::gateway {

namespace {

/** Returns what a caller gets if the only upstream gives this answer. */
SeenAnswer
AnswerTo(const std::string& aRoute, const std::string& aAnswer)
{
  ScriptedUpstream upstream(
    [&](const std::string&) { return Script{ .mAnswer = aAnswer }; });
  GatewayFixture gateway;
  gateway.Add("u", upstream.Where());
  Caller caller(gateway.Where());
  caller.Send(RequestText(aRoute, "1"));
  return ParseAnswer(caller.ReadAnswer());
}

} // namespace

// Guards against a request that waits until its deadline because the answer's
// status is none of HTTP and is taken for that of an interim response.
TEST_CASE("AnAnswerWithAnInvalidStatusFailsAtOnce")
{
  const std::string status = GENERATE("000", "099", "101", "600", "999");
  const std::string route = GENERATE("once", "stream");
  const SeenAnswer seen =
    AnswerTo(route,
             "HTTP/1.1 " + status +
               " X\r\nX-Id: {id}\r\nX-Stamp: proof\r\nContent-Length: "
               "3\r\n\r\nabc");
  INFO(route << ": expected 502 for the status " << status
             << ", got the answer '" << seen.mStatus << "'");
  CHECK(seen.mStatus == "HTTP/1.1 502");
}

// Guards against an answer whose head has a line that is no field: the line is
// passed on as part of another field, or the body's length is lost with it.
TEST_CASE("AnAnswerWithALineThatIsNoFieldFails")
{
  const std::string line = GENERATE(as<std::string>(),
                                    " Content-Length: 3",
                                    "\tContent-Length: 3",
                                    " X: y",
                                    "Content Length: 3",
                                    "Content-Length : 3",
                                    "X\tY: z",
                                    "X\x01Y: z",
                                    "X\x7fY: z",
                                    ": z",
                                    "no colon");
  const bool isFirst = GENERATE(true, false);
  const std::string fields = "X-Id: {id}\r\nX-Stamp: proof\r\n";
  const SeenAnswer seen = AnswerTo(
    "once",
    "HTTP/1.1 200 Said\r\n" +
      (isFirst ? line + "\r\n" + fields : fields + line + "\r\n") + "\r\nabc");
  INFO("expected 502 for a head with the line '" << line << "', got '"
                                                 << seen.mStatus << "'");
  CHECK(seen.mStatus == "HTTP/1.1 502");
}

// Guards against a body that is passed on in an encoding whose field is
// removed.
TEST_CASE("AnAnswerWithAnUnknownTransferEncodingFails")
{
  const std::string encoding =
    GENERATE("gzip, chunked", "gzip", "identity", "chunked, chunked");
  const SeenAnswer seen =
    AnswerTo("once",
             "HTTP/1.1 200 Said\r\nX-Id: {id}\r\nX-Stamp: "
             "proof\r\nTransfer-Encoding: " +
               encoding + "\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
  INFO("expected 502 for the encoding '" << encoding << "', got '"
                                         << seen.mStatus << "' with the body '"
                                         << seen.mBody << "'");
  CHECK(seen.mStatus == "HTTP/1.1 502");
}

TEST_CASE("AnInterimResponseIsFollowedByTheAnswer")
{
  const SeenAnswer seen =
    AnswerTo("once",
             "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: "
             "x\r\n\r\n" +
               WholeAnswer("abc"));
  CHECK(seen.mStatus == "HTTP/1.1 200");
  CHECK(seen.mBody == "abc");
}

} // namespace peridotspool::gateway
