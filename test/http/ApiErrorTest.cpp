// ctest-labels: promise-refusal-did-not-run
#include "http/ApiError.h"

#include <catch2/catch.hpp>

namespace peridotspool::http {

TEST_CASE("EntryThatDidNotAskTheLedgerNeverSaysThatARequestDidNotRun")
{
  // Symptom: a repaste order is sent twice. Sequence: the caller's first try
  // runs, its reply is lost; it sends the same key to an overloaded entry, is
  // told "ran: no", and asks again with a fresh key. Cause: an entry that asked
  // nobody speaks for the key.
  const HttpResponse overloaded =
    MakeErrorResponse(503, "overloaded", "too much waits");
  CHECK(overloaded.mBody.find(R"("ran":"maybe")") != std::string::npos);
  const HttpResponse notReady = MakeUnavailable("no-settings").mResponse;
  CHECK(notReady.mBody.find(R"("ran":"maybe")") != std::string::npos);
  const HttpResponse malformed = MakeErrorResponse(400, "bad-body", "no JSON");
  CHECK(malformed.mBody.find(R"("ran":"no")") != std::string::npos);
}

} // namespace peridotspool::http
