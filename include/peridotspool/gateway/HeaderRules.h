#pragma once

#include "peridotspool/base/Address.h"
#include "peridotspool/gateway/HeaderNames.h"
#include "peridotspool/gateway/RequestHead.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace peridotspool::gateway {

/** Returns true iff the field concerns one connection only (RFC 9110, 7.6.1).
 */
bool
IsHopByHop(std::string_view aName, std::string_view aConnection);

/** What the gateway says of a request to an upstream. */
struct UpstreamRequestFields
{
  /** Empty where the route needs no key. */
  std::string mCustomer;
  std::string mUpstream;
  std::int64_t mDeadlineMs = 0;
  std::optional<unsigned> mPriority;
  /** Another upstream that may keep the prompt's prefix. */
  std::optional<Address> mFetchFrom;
  /** Empty unless a stream goes on after this event. */
  std::string mLastEvent;
};

/**
 * Writes a request for an upstream: the caller's method, target and body, its
 * own fields, and what the gateway sets. Nothing that the caller sent can pass
 * for what the gateway sets.
 */
std::string
WriteUpstreamRequest(const CallerRequest& aRequest,
                     const HeaderNames& aNames,
                     const UpstreamRequestFields& aTerms);

/**
 * Writes the head of an answer as the upstream gave it; the length, if given,
 * or chunks frame its body.
 */
std::string
WriteResponseHead(const ResponseHead& aHead,
                  std::optional<std::uint64_t> aLength,
                  bool aKeepAlive);

/** A whole answer of the gateway's own. */
struct LocalResponse
{
  unsigned mStatus = 503;
  std::string mReason;
  /** Seconds; 0 for none. */
  double mRetryAfter = 0.0;
};

std::string
WriteLocalResponse(const LocalResponse& aAnswer,
                   std::string_view aRequestIdName,
                   std::string_view aRequestId,
                   bool aKeepAlive);

/** Returns the key of "Bearer KEY", or empty. */
std::string_view
BearerToken(std::string_view aAuthorization);

/** Reads a whole number without sign; empty for anything else. */
std::optional<std::uint64_t>
ReadNumber(std::string_view aText);

} // namespace peridotspool::gateway
