#pragma once

#include "peridotspool/base/Ids.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace peridotspool::routing {

/** What a load coordinator knows of an upstream. */
struct SlotCapacity
{
  /** False if another entry coordinates the upstream, or its process is gone.
   */
  bool mIsCoordinated = false;
  Incarnation mIncarnation;
  std::uint32_t mSlots = 0;
  /** Sends of all entries in flight. */
  std::size_t mRunning = 0;

  auto operator<=>(const SlotCapacity&) const = default;
};

using SlotCapacityLookup =
  std::function<SlotCapacity(const UpstreamName&, const FailureDomain&)>;

} // namespace peridotspool::routing
