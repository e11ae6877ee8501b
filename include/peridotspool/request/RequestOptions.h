#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/limits/ResponseBounds.h"

#include <cstdint>

namespace peridotspool::request {

/** Bounds and intervals of request handling. */
struct RequestOptions
{
  /** Maximum number of upstream attempts by one executor. */
  std::uint32_t mMaxAttempts = 6;
  /** Delay before the first retry; doubles each time, with full jitter. */
  Duration mRetryPause = std::chrono::milliseconds(40);
  Duration mMaxRetryPause = std::chrono::seconds(2);
  /** Bounds the wait for an upstream while none can be chosen. */
  Duration mMaxQueueWait = std::chrono::seconds(3);
  /** Interval at which a following entry queries a silent executor again. */
  Duration mFollowRetryInterval = std::chrono::milliseconds(700);
  /** Time after which a refused caller should retry. */
  Duration mRetryAfter = std::chrono::seconds(1);
  /** How long after the deadline an outcome is still proposed to the ledger
   * again. */
  Duration mFinishGrace = std::chrono::seconds(30);
  /** What is held of unfinished answers, here and by the host. */
  limits::ResponseBounds mResponses;
  std::uint64_t mRandomSeed = 1;
};

} // namespace peridotspool::request
