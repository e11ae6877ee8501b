#pragma once

#include "peridotspool/base/Time.h"

#include <cstdint>

namespace peridotspool::request {

/** Bounds and times of the request path. */
struct RequestOptions
{
  /** Most tries at upstreams by one executor. */
  std::uint32_t mMaxAttempts = 6;
  /** First pause before a retry; doubles with each one, with full jitter. */
  Duration mRetryPause = std::chrono::milliseconds(40);
  Duration mMaxRetryPause = std::chrono::seconds(2);
  /** Longest wait for an upstream while none can be chosen. */
  Duration mMaxQueueWait = std::chrono::seconds(3);
  /** How often a follower asks its executor again when nothing comes. */
  Duration mFollowRetryInterval = std::chrono::milliseconds(700);
  /** When a caller that was refused should come back. */
  Duration mRetryAfter = std::chrono::seconds(1);
  /** How long an outcome is proposed again after its deadline. */
  Duration mFinishGrace = std::chrono::seconds(30);
  std::uint64_t mRandomSeed = 1;
};

} // namespace peridotspool::request
