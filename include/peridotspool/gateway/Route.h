#pragma once

#include "peridotspool/base/Ids.h"
#include "peridotspool/base/Time.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace peridotspool::gateway {

/** What may be repeated of a request. */
enum class RequestKind
{
  /** May run more than once. */
  kIdempotent,
  /** Runs at most once for each request id. */
  kNonIdempotent,
  /** Its answer is a series of events; repeated only where it may resume. */
  kStreaming,
};

/** One of the services that a route's requests are split over. */
struct ServiceShare
{
  ServiceName mService;
  std::uint32_t mWeight = 1;

  auto operator<=>(const ServiceShare&) const = default;
};

/** Where requests of one host and path prefix go, and under which terms. */
struct Route
{
  std::string mName;
  /** Lower case, without a port. */
  std::string mHost;
  /** Begins and ends with a slash. */
  std::string mPrefix;
  RequestKind mKind = RequestKind::kNonIdempotent;
  std::vector<ServiceShare> mShares;
  /** The longest that a caller is kept waiting for the whole answer. */
  Duration mTimeout{ 0 };
  /** An answer (of a stream: the first event) within this is on time. */
  Duration mTargetLatency{ 0 };
  /** The longest pause between two events of a stream that is on time. */
  Duration mTargetGap{ 0 };
  /** 0 goes first. */
  std::uint32_t mPriority = 0;
  /** Upstreams that one request may be sent to. */
  std::uint32_t mMaxAttempts = 1;
  /** Needs no customer's key. */
  bool mPublic = false;
  /** Requests share prompt prefixes, which upstreams keep. */
  bool mSticky = false;
  /** A broken stream may go on at another upstream. */
  bool mResumable = false;

  bool MayRepeat() const
  {
    return mKind == RequestKind::kIdempotent ||
           (mKind == RequestKind::kStreaming && mResumable);
  }

  auto operator<=>(const Route&) const = default;
};

} // namespace peridotspool::gateway
