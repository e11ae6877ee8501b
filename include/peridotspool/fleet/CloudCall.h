#pragma once

#include "peridotspool/base/Ids.h"
#include "peridotspool/gateway/SharedMessage.h"

#include <compare>
#include <cstdint>
#include <string>
#include <variant>

namespace peridotspool::fleet {

/** Sets how many upstreams of one kind a service has in a failure domain. */
struct PoolOrder
{
  ServiceName mService;
  FailureDomain mDomain;
  /** Cheaper, and taken back by the cloud on seconds of notice. */
  bool mReclaimable = false;
  std::uint32_t mDesired = 0;

  auto operator<=>(const PoolOrder&) const = default;
};

/** What the holder of the duties tells the cloud. */
using CloudCall = std::variant<gateway::UsageWindow, PoolOrder>;

/** Who tells it: a higher number overrides a lower one. */
struct FencingStamp
{
  std::string mHolder;
  std::uint64_t mFence = 0;

  auto operator<=>(const FencingStamp&) const = default;
};

} // namespace peridotspool::fleet
