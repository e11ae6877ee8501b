#pragma once

#include "peridotspool/base/Ids.h"
#include "peridotspool/base/Time.h"

#include <compare>
#include <cstdint>

namespace peridotspool::gateway {

/** One send of a request to one incarnation of an upstream. */
struct SentRequest
{
  UpstreamName mName;
  Incarnation mIncarnation;
  std::uint64_t mPrefillTokens = 0;
  /** Expected prefill time of its prompt. */
  Duration mPrefillTime{ 0 };
  TimePoint mSentAt;
  /** Planned end of its prefill; unset once the first event has arrived. */
  TimePoint mPrefillDueAt;
  /** Arrival of its first event; unset before. */
  TimePoint mFirstEventAt;
  /**
   * As far as was known, the engine had no other prompt to prefill when this
   * one was sent.
   */
  bool mPrefillQueueWasEmpty = false;
  /** As far as was known, the upstream could run it at once. */
  bool mSlotWasFree = false;

  bool IsPrefilling() const { return mPrefillDueAt != TimePoint(); }
  auto operator<=>(const SentRequest&) const = default;
};

} // namespace peridotspool::gateway
