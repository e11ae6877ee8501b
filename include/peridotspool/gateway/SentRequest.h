#pragma once

#include "peridotspool/base/Ids.h"
#include "peridotspool/base/Time.h"

#include <compare>
#include <cstdint>

namespace peridotspool::gateway {

/** One send to one incarnation of an upstream. */
struct SentRequest
{
  UpstreamName mName;
  Incarnation mIncarnation;
  std::uint64_t mPrefillTokens = 0;
  /** What reading its prompt is expected to take. */
  Duration mPrefillTime{ 0 };
  TimePoint mSentAt;
  /** When its prompt is expected to have been read; unset once it was. */
  TimePoint mPrefillDueAt;
  /** When its first event came; unset before. */
  TimePoint mFirstEventAt;
  /** The engine had no other prompt to read when it was sent, as far as was
   * known. */
  bool mPrefillQueueWasEmpty = false;

  bool IsPrefilling() const { return mPrefillDueAt != TimePoint(); }
  auto operator<=>(const SentRequest&) const = default;
};

} // namespace peridotspool::gateway
