// ctest-labels: unit promise-whole-own-answer
#include "peridotspool/gateway/HeaderRules.h"

#include "gateway/TestNames.h"

#include <catch2/catch.hpp>

namespace peridotspool::gateway {

namespace {

CallerRequest
MakeRequest()
{
  return { .mMethod = "POST",
           .mTarget = "/a/b?q=1",
           .mFields = { { "Host", "one.example" },
                        { "X-Id", "r1" },
                        { "x-customer", "forged" },
                        { "X-HOLD", "forged" },
                        { "X-Expect", "forged" },
                        { "Authorization", "Bearer secret" },
                        { "Connection", "close, X-Mine" },
                        { "X-Mine", "for the gateway only" },
                        { "Content-Length", "999" },
                        { "X-Other", "kept" } },
           .mBody = "the body" };
}

} // namespace

// Guards against a request that is billed to another customer: a caller sets
// the customer's field itself, and it is forwarded beside the gateway's own.
TEST_CASE("WriteUpstreamHeadRemovesCallersValuesOfGatewayFields")
{
  const std::string text = WriteUpstreamHead(MakeRequest(),
                                             TestNames(),
                                             { .mCustomer = "real",
                                               .mUpstream = "u1",
                                               .mDeadlineMs = 250,
                                               .mPriority = 2,
                                               .mLastEvent = {} });
  CHECK(text.find("forged") == std::string::npos);
  CHECK(text.find("secret") == std::string::npos);
  CHECK(text.find("gateway only") == std::string::npos);
  CHECK(text.find("X-Customer: real\r\n") != std::string::npos);
  CHECK(text.find("X-Expect: u1\r\n") != std::string::npos);
  CHECK(text.find("X-Deadline: 250\r\n") != std::string::npos);
  CHECK(text.find("X-Priority: 2\r\n") != std::string::npos);
  CHECK(text.find("X-Other: kept\r\n") != std::string::npos);
  CHECK(text.find("Content-Length: 8\r\n") != std::string::npos);
  CHECK(text.find("999") == std::string::npos);
  CHECK(text.starts_with("POST /a/b?q=1 HTTP/1.1\r\n"));
  CHECK(text.ends_with("\r\n\r\n"));
  CHECK(text.find("\r\n\r\n") == text.size() - 4);
}

TEST_CASE("WriteUpstreamHeadReplacesTheLastEventIdOfAResumedStream")
{
  CallerRequest request = MakeRequest();
  request.mFields.emplace_back("last-event-id", "3");
  const std::string own = WriteUpstreamHead(request, TestNames(), {});
  CHECK(own.find("last-event-id: 3\r\n") != std::string::npos);
  const std::string resumed =
    WriteUpstreamHead(request, TestNames(), { .mLastEvent = "9" });
  CHECK(resumed.find("last-event-id: 3") == std::string::npos);
  CHECK(resumed.find("Last-Event-Id: 9\r\n") != std::string::npos);
}

TEST_CASE("WriteUpstreamHeadOmitsContentLengthForAGETWithoutBody")
{
  CallerRequest request = MakeRequest();
  request.mMethod = "GET";
  request.mBody.clear();
  CHECK(WriteUpstreamHead(request, TestNames(), {}).find("Content-Length") ==
        std::string::npos);
}

TEST_CASE("WriteResponseHeadKeepsFieldsAndReplacesFraming")
{
  const ResponseHead head{ .mStatus = 200,
                           .mReason = "OK",
                           .mFields = { { "X-Stamp", "s" },
                                        { "Keep-Alive", "timeout=5" },
                                        { "Transfer-Encoding", "chunked" },
                                        { "Content-Length", "3" } } };
  CHECK(WriteResponseHead(head, BodyFraming::kLength, 5, true) ==
        "HTTP/1.1 200 OK\r\nX-Stamp: s\r\nContent-Length: 5\r\n\r\n");
  CHECK(WriteResponseHead(head, BodyFraming::kChunked, 0, false) ==
        "HTTP/1.1 200 OK\r\nX-Stamp: s\r\nTransfer-Encoding: "
        "chunked\r\nConnection: close\r\n\r\n");
  CHECK(WriteResponseHead(head, BodyFraming::kConnection, 0, false) ==
        "HTTP/1.1 200 OK\r\nX-Stamp: s\r\nConnection: close\r\n\r\n");
}

TEST_CASE("WriteLocalResponseHasRetryAfterAndNoStamp")
{
  const std::string text = WriteLocalResponse(
    { .mStatus = 503, .mReason = "full", .mRetryAfter = 0.3 },
    "X-Id",
    "r1",
    true);
  CHECK(text.find("Retry-After: 0.30\r\n") != std::string::npos);
  CHECK(text.find("X-Id: r1\r\n") != std::string::npos);
  CHECK(text.find("X-Stamp") == std::string::npos);
}

TEST_CASE("BearerTokenAndReadNumberRejectMalformedInput")
{
  CHECK(BearerToken("Bearer abc") == "abc");
  CHECK(BearerToken("bearer  abc ") == "abc");
  CHECK(BearerToken("Basic abc").empty());
  CHECK(BearerToken("Bearer").empty());
  CHECK(ReadNumber("12") == 12U);
  CHECK_FALSE(ReadNumber("-1"));
  CHECK_FALSE(ReadNumber("1x"));
  CHECK_FALSE(ReadNumber(""));
}

} // namespace peridotspool::gateway
