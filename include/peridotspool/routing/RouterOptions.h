#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/routing/EjectionOptions.h"

#include <cstdint>

namespace peridotspool::routing {

/** Weights and bounds of the router; the weights come from the settings. */
struct RouterOptions
{
  /** What one second of expected waiting weighs. */
  double mLatencyWeight = 1.0;
  /** What one currency unit an hour weighs. */
  double mCostWeight = 0.1;
  /** How many upstreams are compared for one request. */
  std::uint32_t mCandidates = 4;
  /** True iff other entries send to the same upstreams, unseen by this one. */
  bool mOtherEntriesSend = true;
  /** Candidates weighed before a request is refused. */
  std::uint32_t mFallbackCandidates = 32;
  std::uint64_t mRandomSeed = 1;
  /**
   * No announcement holds longer, whatever it says, so that a leaving upstream
   * gets no new work from an entry that missed its leaving for longer.
   */
  Duration mMaxLease = std::chrono::seconds(2);
  /** How long an upstream that is gone is remembered, against late news. */
  Duration mForgetAfter = std::chrono::minutes(10);
  /** Upstreams known at once; more are not taken. */
  std::uint32_t mMaxUpstreams = 8192;
  /** Requests waiting inside an upstream, for each of its slots. */
  double mMaxWaitingPerSlot = 4;
  /** Expected time of a request before one has ended. */
  Duration mInitialHoldTime = std::chrono::milliseconds(500);
  /** What an upstream's requests took counts for this long after the last. */
  Duration mHoldTimeMaxAge = std::chrono::seconds(10);
  /** Blocks of prompts that the prefix index holds (a power of two). */
  std::uint32_t mPrefixBlocks = 1 << 16;
  EjectionOptions mEjection;
};

} // namespace peridotspool::routing
