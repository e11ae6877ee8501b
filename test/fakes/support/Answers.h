#pragma once

#include "fakes/support/Json.h"
#include "fakes/support/Tokens.h"
#include "peridotspool/http/HttpMessage.h"

namespace peridotspool::fakes {

inline http::HttpResponse
JsonAnswer(std::uint32_t aStatus, const json::object& aBody)
{
  return { .mStatus = aStatus,
           .mHeaders = { { "content-type", "application/json" } },
           .mBody = json::serialize(aBody) };
}

inline http::HttpResponse
ErrorAnswer(std::uint32_t aStatus, const std::string& aReason)
{
  return JsonAnswer(aStatus, { { "reason", aReason } });
}

/** A refusal that proves that the request did not run. */
inline http::HttpResponse
DidNotRunAnswer(const std::string& aReason)
{
  http::HttpResponse response = ErrorAnswer(503, aReason);
  response.mHeaders["x-did-not-run"] = "1";
  return response;
}

/** Returns true for about aRate of all attempts, the same ones each time. */
inline bool
IsUnlucky(const std::string& aRequest, std::int64_t aAttempt, double aRate)
{
  const std::uint64_t hash =
    HashOf(std::to_string(aAttempt) + "/" + aRequest) >> 11;
  return static_cast<double>(hash % 10000) < aRate * 10000.0;
}

} // namespace peridotspool::fakes
