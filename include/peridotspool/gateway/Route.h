#pragma once

#include "peridotspool/base/Ids.h"
#include "peridotspool/base/Time.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace peridotspool::gateway {

/** Whether a request may be retried. */
enum class RequestKind
{
  /** May run more than once. */
  kIdempotent,
  /** Runs at most once for each request id. */
  kNonIdempotent,
  /** Answered by a stream of events; retried only if the route is resumable. */
  kStreaming,
};

/** One of the services among which a route's requests are distributed. */
struct ServiceShare
{
  ServiceName mService;
  std::uint32_t mWeight = 1;

  auto operator<=>(const ServiceShare&) const = default;
};

/** How requests for one host and path prefix are routed. */
struct Route
{
  std::string mName;
  /** Lower case, without a port. */
  std::string mHost;
  /** Begins and ends with a slash. */
  std::string mPrefix;
  RequestKind mKind = RequestKind::kNonIdempotent;
  std::vector<ServiceShare> mShares;
  /** Bounds the time to the end of the response. */
  Duration mTimeout{ 0 };
  /** Latency objective of the response, or of a stream's first event. */
  Duration mTargetLatency{ 0 };
  /** Latency objective of each gap between two events of a stream. */
  Duration mTargetGap{ 0 };
  /** 0 is the highest priority. */
  std::uint32_t mPriority = 0;
  /** Bounds the number of times that one request may run. */
  std::uint32_t mMaxAttempts = 1;
  /** Requests need no customer's key. */
  bool mPublic = false;
  /** Requests share prompt prefixes, which upstreams cache. */
  bool mSticky = false;
  /** An interrupted stream may be resumed at another upstream. */
  bool mResumable = false;

  bool MayRetry() const
  {
    return mKind == RequestKind::kIdempotent ||
           (mKind == RequestKind::kStreaming && mResumable);
  }

  auto operator<=>(const Route&) const = default;
};

} // namespace peridotspool::gateway
