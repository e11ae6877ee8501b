#pragma once

#include "peridotspool/base/Ids.h"
#include "peridotspool/base/Time.h"
#include "peridotspool/routing/CallTimes.h"
#include "peridotspool/routing/SlotAllocator.h"
#include "peridotspool/routing/SlotClient.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>

namespace peridotspool::gateway {

/** What the slots of an upstream need of the end of a send. */
struct SlotEnd
{
  UpstreamName mUpstream;
  /** Empty if the send says nothing of how long work takes. */
  std::optional<Duration> mTook;
  /** Sends in flight, this one included. */
  std::size_t mRunning = 0;
};

/** The state of an entry that shares capacity by slots. */
struct SlotScheduling
{
  /** Grants the slots of the upstreams that this entry coordinates. */
  routing::SlotAllocator mAllocator;
  routing::SlotClient mClient;
  routing::CallTimes mCallTimes;
  /** Exchanges that wait for a slot, by its tag. */
  std::unordered_map<std::uint64_t,
                     std::function<void(const routing::SlotDecision&)>>
    mWaiters;
  /** When all waits of this process end; set once it stops. */
  std::optional<TimePoint> mWaitsEndAt;
};

} // namespace peridotspool::gateway
