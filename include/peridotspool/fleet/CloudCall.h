#pragma once

#include "peridotspool/base/Ids.h"
#include "peridotspool/gateway/PeerMessage.h"

#include <compare>
#include <cstdint>
#include <string>
#include <variant>

namespace peridotspool::fleet {

/**
 * Sets the number of upstreams of one purchase kind that a service has in a
 * failure domain.
 */
struct PoolOrder
{
  ServiceName mService;
  FailureDomain mDomain;
  /** Cheaper than on-demand; the cloud may reclaim it on seconds of notice. */
  bool mReclaimable = false;
  std::uint32_t mDesired = 0;

  auto operator<=>(const PoolOrder&) const = default;
};

/** A request that the control leader sends to the cloud. */
using CloudCall = std::variant<gateway::UsageWindow, PoolOrder>;

/**
 * Identifies the sender of a cloud call. The cloud lets a higher fence override
 * a lower one.
 */
struct FencingStamp
{
  std::string mHolder;
  std::uint64_t mFence = 0;

  auto operator<=>(const FencingStamp&) const = default;
};

} // namespace peridotspool::fleet
