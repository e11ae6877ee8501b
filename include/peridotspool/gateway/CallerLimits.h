#pragma once

#include "peridotspool/base/Time.h"

#include <chrono>
#include <compare>
#include <cstdint>

namespace peridotspool::gateway {

/** Bounds the size and the duration of a caller's request. */
struct CallerLimits
{
  std::uint64_t mHeaderBytes = 16U << 10;
  std::uint64_t mBodyBytes = 4U << 20;
  /** From the first byte of a request to the end of its header. */
  Duration mHeaderTimeout = std::chrono::seconds(3);
  /** How long a connection may stay open without a request. */
  Duration mIdleTimeout = std::chrono::seconds(15);

  auto operator<=>(const CallerLimits&) const = default;
};

} // namespace peridotspool::gateway
