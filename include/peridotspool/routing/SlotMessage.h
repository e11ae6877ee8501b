#pragma once

#include "peridotspool/base/Ids.h"

#include <boost/describe/class.hpp>
#include <boost/describe/enum.hpp>
#include <compare>
#include <cstdint>

namespace peridotspool::routing {

/** To an upstream's load coordinator: asks for a slot for one send. */
struct SlotRequest
{
  UpstreamName mUpstream;
  Incarnation mIncarnation;
  FailureDomain mDomain;
  /** Identifies this request at the entry that sends it. */
  std::uint64_t mTag = 0;
  CustomerName mCustomer;
  /** Of the customer among all customers, for example its limit's rate. */
  double mWeight = 1.0;
  /** 0 is the highest. */
  std::uint32_t mPriority = 0;
  /** Tokens to be prefilled and generated; 1 for a call without tokens. */
  std::uint64_t mCost = 1;
  /** Latest start that meets the request's latency objective. */
  std::uint32_t mLatestStartMs = 0;
  /** The slot is of no use after this time. */
  std::uint32_t mMaxWaitMs = 0;

  auto operator<=>(const SlotRequest&) const = default;
};
BOOST_DESCRIBE_STRUCT(SlotRequest,
                      (),
                      (mUpstream,
                       mIncarnation,
                       mDomain,
                       mTag,
                       mCustomer,
                       mWeight,
                       mPriority,
                       mCost,
                       mLatestStartMs,
                       mMaxWaitMs))

enum class SlotOutcome
{
  kGranted,
  /** A final response follows. */
  kQueued,
  /** No slot is expected within the time that the request can wait. */
  kDenied,
  /** The recipient doesn't coordinate this upstream. */
  kNotCoordinator,
};
BOOST_DESCRIBE_ENUM(SlotOutcome, kGranted, kQueued, kDenied, kNotCoordinator)

/** From a load coordinator. */
struct SlotResponse
{
  UpstreamName mUpstream;
  std::uint64_t mTag = 0;
  SlotOutcome mOutcome = SlotOutcome::kDenied;
  /** When a slot is expected to be free for the request; 0 if granted. */
  std::uint32_t mExpectedMs = 0;
  /** Sends that wait for a slot of the upstream; for the log. */
  std::uint32_t mWaiting = 0;

  auto operator<=>(const SlotResponse&) const = default;
};
BOOST_DESCRIBE_STRUCT(SlotResponse,
                      (),
                      (mUpstream, mTag, mOutcome, mExpectedMs, mWaiting))

/** To a load coordinator: cancels a request, or returns an unused slot. */
struct SlotReturn
{
  UpstreamName mUpstream;
  std::uint64_t mTag = 0;

  auto operator<=>(const SlotReturn&) const = default;
};
BOOST_DESCRIBE_STRUCT(SlotReturn, (), (mUpstream, mTag))

} // namespace peridotspool::routing
