#pragma once

#include "http/BeastTypes.h"
#include "peridotspool/base/Address.h"
#include "peridotspool/gateway/UpstreamSelector.h"

#include <cstddef>
#include <cstdint>

namespace peridotspool::gateway {

/** A request's wait for a slot at the coordinator of an upstream. */
struct SlotWait
{
  explicit SlotWait(http::net::io_context& aIo)
    : mTimer(aIo)
  {
  }

  /** Of the pending slot request; 0 for none. */
  std::uint64_t mTag = 0;
  /** Of the granted slot until the send uses it; 0 for none. */
  std::uint64_t mGrantedTag = 0;
  Address mCoordinator;
  /** The choice that waits. */
  UpstreamChoice mChoice;
  std::size_t mDenials = 0;
  /** Ends the wait for a first response. */
  http::net::steady_timer mTimer;
};

} // namespace peridotspool::gateway
