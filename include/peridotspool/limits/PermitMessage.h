#pragma once

#include "peridotspool/base/Ids.h"

#include <boost/describe/class.hpp>
#include <boost/describe/enum.hpp>
#include <compare>
#include <cstdint>

namespace peridotspool::limits {

/** A rate limit that an upstream stated, and how long ago it did. */
struct LimitClaim
{
  double mPerSecond = 0.0;
  std::uint32_t mAgeMs = 0;

  auto operator<=>(const LimitClaim&) const = default;
};
BOOST_DESCRIBE_STRUCT(LimitClaim, (), (mPerSecond, mAgeMs))

/** Identifies the coordinator that granted a permit, and the time of the grant
 * by the coordinator's clock; only echoed by entries. */
struct PermitReceipt
{
  std::uint64_t mAllocatorId = 0;
  std::int64_t mGrantedAt = 0;

  auto operator<=>(const PermitReceipt&) const = default;
};
BOOST_DESCRIBE_STRUCT(PermitReceipt, (), (mAllocatorId, mGrantedAt))

/** To a coordinator: an upstream has just stated its limit, or none. */
struct LimitReport
{
  UpstreamName mUpstream;
  Incarnation mIncarnation;
  FailureDomain mDomain;
  /** 0 if the response stated no limit. */
  double mPerSecond = 0.0;
  /** The permit of the request whose response stated no limit. */
  PermitReceipt mReceipt;

  auto operator<=>(const LimitReport&) const = default;
};
BOOST_DESCRIBE_STRUCT(LimitReport,
                      (),
                      (mUpstream, mIncarnation, mDomain, mPerSecond, mReceipt))

/** To a coordinator: requests a permit for one send to an upstream. */
struct SendPermitRequest
{
  UpstreamName mUpstream;
  Incarnation mIncarnation;
  FailureDomain mDomain;
  /** Identifies this request at the entry that sends it. */
  std::uint64_t mTag = 0;
  /** The limit as known to the entry. */
  LimitClaim mClaim;
  /** 0 is the most urgent. */
  std::uint32_t mPriority = 0;
  /** The permit is of no use after this time. */
  std::uint32_t mMaxWaitMs = 0;

  auto operator<=>(const SendPermitRequest&) const = default;
};
BOOST_DESCRIBE_STRUCT(
  SendPermitRequest,
  (),
  (mUpstream, mIncarnation, mDomain, mTag, mClaim, mPriority, mMaxWaitMs))

enum class PermitOutcome
{
  kGranted,
  /** A final response follows. */
  kQueued,
  /** No permit is expected within the time that the request can wait. */
  kDenied,
  /** The recipient doesn't coordinate this upstream, or only since recently. */
  kNotCoordinator,
  /** The upstream has no limit any more. */
  kUnlimited,
};
BOOST_DESCRIBE_ENUM(PermitOutcome,
                    kGranted,
                    kQueued,
                    kDenied,
                    kNotCoordinator,
                    kUnlimited)

/** From a coordinator. */
struct SendPermitResponse
{
  UpstreamName mUpstream;
  std::uint64_t mTag = 0;
  PermitOutcome mOutcome = PermitOutcome::kDenied;
  /** When a permit is expected to be available; 0 if granted. */
  std::uint32_t mRetryAfterMs = 0;
  /** Set with kGranted. */
  PermitReceipt mReceipt;

  auto operator<=>(const SendPermitResponse&) const = default;
};
BOOST_DESCRIBE_STRUCT(SendPermitResponse,
                      (),
                      (mUpstream, mTag, mOutcome, mRetryAfterMs, mReceipt))

/** To a coordinator: cancels a request, or returns a permit that wasn't used.
 */
struct SendPermitReturn
{
  UpstreamName mUpstream;
  std::uint64_t mTag = 0;

  auto operator<=>(const SendPermitReturn&) const = default;
};
BOOST_DESCRIBE_STRUCT(SendPermitReturn, (), (mUpstream, mTag))

/** From a coordinator, with the load of a limited upstream. */
struct LimitState
{
  UpstreamName mUpstream;
  Incarnation mIncarnation;
  LimitClaim mClaim;
  /** When a permit is expected to be available. */
  std::uint32_t mWaitMs = 0;

  auto operator<=>(const LimitState&) const = default;
};
BOOST_DESCRIBE_STRUCT(LimitState,
                      (),
                      (mUpstream, mIncarnation, mClaim, mWaitMs))

} // namespace peridotspool::limits
