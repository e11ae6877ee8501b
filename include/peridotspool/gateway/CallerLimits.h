#pragma once

#include "peridotspool/base/Time.h"

#include <chrono>
#include <compare>
#include <cstdint>

namespace peridotspool::gateway {

/** What a caller may send, and how long it may take over it. */
struct CallerLimits
{
  std::uint64_t mHeaderBytes = 16U << 10;
  std::uint64_t mBodyBytes = 4U << 20;
  /** From a connection's first byte of a request to the end of its header. */
  Duration mHeaderTimeout = std::chrono::seconds(3);
  /** How long a connection may stay without a request. */
  Duration mIdleTimeout = std::chrono::seconds(15);

  auto operator<=>(const CallerLimits&) const = default;
};

} // namespace peridotspool::gateway
