#pragma once

#include <compare>
#include <cstddef>

namespace peridotspool::limits {

/** Bounds on the bytes that an entry keeps of upstreams' responses. */
struct ResponseBounds
{
  /** Bytes of one response that is kept before it is passed on. */
  std::size_t mResponseBytes = 8U << 20;
  /** Bytes of one event of a stream. */
  std::size_t mEventBytes = 8U << 20;
  /** Bytes of all unfinished responses together. */
  std::size_t mTotalBytes = 64U << 20;

  auto operator<=>(const ResponseBounds&) const = default;
};

} // namespace peridotspool::limits
