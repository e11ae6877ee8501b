#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/routing/EjectionOptions.h"

#include <cstdint>

namespace peridotspool::routing {

/** Weights and bounds of the router. The weights come from the settings. */
struct RouterOptions
{
  /** Weight of one second of expected time to the first token. */
  double mLatencyWeight = 1.0;
  /** Weight of a price of one currency unit per hour. */
  double mCostWeight = 0.1;
  /** Upstreams that are compared for one request. */
  std::uint32_t mCandidates = 4;
  /**
   * True iff other entries send to the same upstreams without this entry's
   * knowledge.
   */
  bool mOtherEntriesSend = true;
  /** Upstreams that are compared before a request is refused. */
  std::uint32_t mFallbackCandidates = 32;
  std::uint64_t mRandomSeed = 1;
  /**
   * Maximum lease of an announcement, whatever it states. An entry that missed
   * that an upstream leaves sends no new requests to it after this time.
   */
  Duration mMaxLease = std::chrono::seconds(2);
  /**
   * How long an expired upstream is remembered, so that late announcements of
   * it can be ignored.
   */
  Duration mForgetAfter = std::chrono::minutes(10);
  /** Maximum number of known upstreams; further ones are ignored. */
  std::uint32_t mMaxUpstreams = 8192;
  /** Maximum requests that wait inside an upstream, per slot. */
  double mMaxWaitingPerSlot = 4;
  /** Expected run time of a request before the first one has ended. */
  Duration mInitialHoldTime = std::chrono::milliseconds(500);
  /**
   * An upstream's own mean run time is used for this long after its last
   * request.
   */
  Duration mHoldTimeMaxAge = std::chrono::seconds(10);
  /** Prompt blocks in the prefix index; a power of two. */
  std::uint32_t mPrefixBlocks = 1 << 16;
  EjectionOptions mEjection;
};

} // namespace peridotspool::routing
