#pragma once

#include "peridotspool/base/Address.h"
#include "peridotspool/gateway/HeaderNames.h"
#include "peridotspool/gateway/RequestHead.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace peridotspool::gateway {

/**
 * Returns true iff the field is hop-by-hop (RFC 9110, 7.6.1). aConnection is
 * the value of the message's Connection field.
 */
bool
IsHopByHop(std::string_view aName, std::string_view aConnection);

/** Fields that the gateway sets in a request to an upstream. */
struct UpstreamRequestFields
{
  /** Empty if the route requires no key. */
  std::string mCustomer;
  std::string mUpstream;
  std::int64_t mDeadlineMs = 0;
  std::optional<unsigned> mPriority;
  /** Another upstream that may have the prompt's prefix cached. */
  std::optional<Address> mFetchFrom;
  /** Id of the event after which the stream resumes; empty otherwise. */
  std::string mLastEvent;
};

/**
 * Writes the head of a request for an upstream: the caller's method, target and
 * fields, the length of its body, and the fields that the gateway sets. Removes
 * the caller's values of the latter, so that a caller cannot forge them.
 */
std::string
WriteUpstreamHead(const CallerRequest& aRequest,
                  const HeaderNames& aNames,
                  const UpstreamRequestFields& aTerms);

/**
 * Writes the head of an upstream's response with the framing replaced.
 *
 * @param aLength bytes of the body; used iff it is framed by its length
 */
std::string
WriteResponseHead(const ResponseHead& aHead,
                  BodyFraming aFraming,
                  std::uint64_t aLength,
                  bool aKeepAlive);

/** A response that the gateway generates itself. */
struct LocalResponse
{
  unsigned mStatus = 503;
  std::string mReason;
  /** In seconds; 0 omits the field. */
  double mRetryAfter = 0.0;
};

std::string
WriteLocalResponse(const LocalResponse& aAnswer,
                   std::string_view aRequestIdName,
                   std::string_view aRequestId,
                   bool aKeepAlive);

/** Returns the key of "Bearer KEY", or empty for anything else. */
std::string_view
BearerToken(std::string_view aAuthorization);

/** Parses an unsigned decimal integer; empty for anything else. */
std::optional<std::uint64_t>
ReadNumber(std::string_view aText);

} // namespace peridotspool::gateway
