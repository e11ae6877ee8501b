#pragma once

#include "peridotspool/routing/UpstreamReport.h"
#include "routing/Ejection.h"
#include "routing/LoadEstimate.h"
#include "routing/PrefixIndex.h"

#include <cstdint>
#include <limits>

namespace peridotspool::routing {

/** What a decision reads of one upstream: small, so that many stay cached. */
struct UpstreamStats
{
  /** When the announcement's lease ends. */
  TimePoint mExpires;
  float mLoad = 0;
  std::uint32_t mSlots = 1;
  float mFirstTokenMicros = 0;
  /** Mean time that a request holds a slot; zero before one has ended. */
  float mHoldMicros = 0;
  /** When that is too old to go by. */
  TimePoint mHoldExpires;
  /** Currency units an hour. */
  float mPrice = 0;
  /** Share of guessed prefixes that the engine confirmed. */
  float mGuessRate = 0.5F;
};

inline constexpr std::uint32_t kNotServing =
  std::numeric_limits<std::uint32_t>::max();

/** The rest of one upstream. */
struct UpstreamDetail
{
  UpstreamAnnouncement mAnnouncement;
  LoadEstimate mLoad;
  Ejection mEjection;
  /** A leaving upstream stays leaving until it has a new incarnation. */
  bool mLeaving = false;
  /** Place in its service's list of serving upstreams, or kNotServing. */
  std::uint32_t mServingIndex = kNotServing;
  /** When it is forgotten, with all that is known of its incarnations. */
  TimePoint mForgetAt;
  std::uint64_t mCacheSequence = 0;
};

} // namespace peridotspool::routing
