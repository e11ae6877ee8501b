#include "http/ApiError.h"

#include <boost/json.hpp>

#include <utility>

namespace peridotspool::http {

namespace {

constexpr std::uint32_t kStatusUnauthorized = 401;
constexpr std::uint32_t kStatusNotFound = 404;
constexpr std::uint32_t kStatusUnavailable = 503;

} // namespace

HttpResponse
MakeErrorResponse(std::uint32_t aStatus,
                  const std::string& aReason,
                  const std::string& aMessage)
{
  // An entry that is not ready or overloaded has not asked the ledger: the same
  // key may have come through another entry, and may run.
  const char* ran = aStatus == kStatusUnavailable ? "maybe" : "no";
  const boost::json::object body{ { "reason", aReason },
                                  { "message", aMessage },
                                  { "ran", ran } };
  return HttpResponse{ .mStatus = aStatus,
                       .mHeaders = { { "content-type", "application/json" } },
                       .mBody = boost::json::serialize(body) };
}

RefusedCommand
MakeRefusal(std::uint32_t aStatus,
            std::string aReason,
            const std::string& aMessage)
{
  return RefusedCommand{ MakeErrorResponse(aStatus, aReason, aMessage),
                         std::move(aReason) };
}

RefusedCommand
MakeUnauthorized(std::string aReason)
{
  return MakeRefusal(
    kStatusUnauthorized, std::move(aReason), "no valid key was given");
}

RefusedCommand
MakeNotFound()
{
  return MakeRefusal(kStatusNotFound, "not-found", "there is no such thing");
}

RefusedCommand
MakeUnavailable(std::string aReason)
{
  RefusedCommand refused = MakeRefusal(
    kStatusUnavailable, std::move(aReason), "this entry is not ready yet");
  refused.mResponse.mHeaders["retry-after"] = "1";
  return refused;
}

} // namespace peridotspool::http
