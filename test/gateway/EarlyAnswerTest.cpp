// ctest-labels: promise-whole-own-answer
#include "gateway/CutAnswer.h"
#include "gateway/EarlyUpstream.h"

#include <catch2/catch.hpp>

namespace peridotspool::gateway {

namespace {

using Then = EarlyUpstream::Then;

constexpr const char* kHeadWithoutLength =
  "HTTP/1.1 200 Said\r\nX-Id: {id}\r\nX-Stamp: proof\r\n\r\n";

/** Lets callers send long bodies. */
void
AllowUploads(GatewayFixture& aGateway)
{
  aGateway.OnRelay([&] {
    RouteTableSource source = aGateway.Core().mTable->Source();
    source.mLimits.mBodyBytes = std::size_t{ 4 } << 20;
    LastReason reason;
    auto table = RouteTable::Make(std::move(source), reason);
    REQUIRE(table);
    aGateway.Core().mTable =
      std::make_shared<const RouteTable>(std::move(*table));
  });
}

/** Returns what the caller of an upload gets from the upstream. */
SeenAnswer
Upload(const std::string& aRoute,
       const std::string& aAnswer,
       Then aThen,
       std::size_t aRequests = 1)
{
  EarlyUpstream upstream(aAnswer, aThen);
  GatewayFixture gateway;
  AllowUploads(gateway);
  gateway.Add("u", upstream.Where());
  Caller caller(gateway.Where());
  SeenAnswer seen;
  for (std::size_t i = 0; i < aRequests; ++i) {
    caller.Send(RequestText(aRoute, "r" + std::to_string(i), LongUpload()));
    seen = ParseAnswer(caller.ReadAnswer());
  }
  return seen;
}

} // namespace

// Guards against a truncated answer that looks complete: its connection is
// reset while the request is still being written, the write is told of that,
// and the answer, which has no length, ends as if the upstream had closed.
TEST_CASE("AnAnswerThatIsResetDuringTheUploadIsNeverTakenForComplete")
{
  const std::string route = GENERATE("once", "safe", "stream", "prompt");
  const std::string part =
    route == "once" || route == "safe" ? "part" : "id: 1\ndata: a\n\n";
  const SeenAnswer seen =
    Upload(route, kHeadWithoutLength + part, Then::kReset);
  INFO(route << ": expected a failure or an incomplete answer, got '"
             << seen.mStatus << "' with the body '" << seen.mBody << "'");
  CHECK_FALSE((seen.mStatus == "HTTP/1.1 200" && seen.mComplete));
}

TEST_CASE("AnEarlyAnswerThatEndsInOrderIsRelayedWhole")
{
  const std::string route = GENERATE("once", "safe");
  const SeenAnswer seen =
    Upload(route, std::string(kHeadWithoutLength) + "all", Then::kCloseInOrder);
  CHECK(seen.mStatus == "HTTP/1.1 200");
  CHECK(seen.mComplete);
  CHECK(seen.mBody == "all");
}

// Guards against requests that are sent on a connection which its upstream has
// reset: the answer was whole before, and the write's error was dropped.
TEST_CASE("AConnectionThatFailedDuringAnUploadIsNotUsedAgain")
{
  const SeenAnswer seen = Upload("once", WholeAnswer("all"), Then::kReset, 3);
  CHECK(seen.mStatus == "HTTP/1.1 200");
  CHECK(seen.mBody == "all");
}

} // namespace peridotspool::gateway
