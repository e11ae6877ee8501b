#pragma once

#include "peridotspool/routing/UpstreamReport.h"
#include "routing/Ejection.h"
#include "routing/LoadEstimate.h"
#include "routing/PrefixIndex.h"

#include <cstdint>
#include <limits>

namespace peridotspool::routing {

/**
 * The data of one upstream that each decision reads. Kept small, so that many
 * upstreams fit into the processor's cache.
 */
struct UpstreamStats
{
  /** When the announcement's lease expires. */
  TimePoint mExpires;
  float mLoad = 0;
  std::uint32_t mSlots = 1;
  float mFirstTokenMicros = 0;
  /** Mean time that a request holds a slot; zero before the first has ended. */
  float mHoldMicros = 0;
  /** When mHoldMicros expires. */
  TimePoint mHoldExpires;
  /** In currency units per hour. */
  float mPrice = 0;
  /** Share of guessed prefixes that the engine confirmed. */
  float mGuessRate = 0.5F;
};

inline constexpr std::uint32_t kNotServing =
  std::numeric_limits<std::uint32_t>::max();

/** The data of one upstream that decisions rarely read. */
struct UpstreamDetail
{
  UpstreamAnnouncement mAnnouncement;
  LoadEstimate mLoad;
  Ejection mEjection;
  /** A leaving upstream stays leaving until it has a new incarnation. */
  bool mLeaving = false;
  /** Index in its service's list of serving upstreams, or kNotServing. */
  std::uint32_t mServingIndex = kNotServing;
  /** When the upstream is forgotten, including its incarnation. */
  TimePoint mForgetAt;
  std::uint64_t mCacheSequence = 0;
};

} // namespace peridotspool::routing
