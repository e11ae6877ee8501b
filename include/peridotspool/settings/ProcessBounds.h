#pragma once

#include <compare>
#include <cstdint>

namespace peridotspool::settings {

/** Upper bounds of what one process holds; beyond them it refuses. */
struct ProcessBounds
{
  /** Bytes of one request's or answer's body. */
  std::uint64_t mBodyBytes = 1 << 20;
  /** Bytes of one HTTP header. */
  std::uint64_t mHeaderBytes = 16 << 10;
  /** Bytes of one message between our processes. */
  std::uint64_t mFrameBytes = 16 << 20;
  /** Open connections from callers, at each listener. */
  std::uint64_t mConnections = 4096;
  /** Bytes that all connections of a listener hold together. */
  std::uint64_t mCallerMemoryBytes = 32 << 20;
  /** Slots of each ring between two threads. */
  std::uint64_t mRingSlots = 4096;
  /** Bytes of accepted requests and kept answers. */
  std::uint64_t mLedgerBytes = 256 << 20;
  /** Upstreams known at once. */
  std::uint64_t mUpstreams = 8192;
  /** Bytes of one response of an upstream that is kept before it is passed on.
   */
  std::uint64_t mUpstreamResponseBytes = 8 << 20;
  /** Bytes of one event of an upstream's stream. */
  std::uint64_t mUpstreamEventBytes = 8 << 20;
  /** Bytes of all unfinished responses of upstreams together. */
  std::uint64_t mUpstreamMemoryBytes = 64 << 20;

  auto operator<=>(const ProcessBounds&) const = default;
};

} // namespace peridotspool::settings
