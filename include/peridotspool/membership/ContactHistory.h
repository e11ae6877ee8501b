#pragma once

#include "peridotspool/base/Time.h"

#include <optional>

namespace peridotspool::membership {

/**
 * How far back an entry knows what has happened in the system: it has been in
 * contact with the control leader since then.
 *
 * A deterministic state machine: it uses no clock, thread or socket. Not
 * thread-safe.
 */
class ContactHistory
{
public:
  /** An entry without a confirmation for so long may be cut off. */
  static constexpr Duration kMaxConfirmationAge = std::chrono::seconds(2);

  /**
   * Records when the last heartbeat was sent that the leader has confirmed;
   * empty if there is none.
   */
  void RecordConfirmation(std::optional<TimePoint> aConfirmedAt);

  /**
   * Returns true iff the entry is in contact and learned of everything that was
   * announced within aPeriod.
   */
  bool Covers(Duration aPeriod, TimePoint aNow) const;

private:
  std::optional<TimePoint> mConfirmedAt;
  /** Since when no gap was longer than kMaxGap. */
  TimePoint mContactSince;
  /** Until then, what happened during the last gap may still be unknown. */
  TimePoint mCaughtUpAt;
};

} // namespace peridotspool::membership
