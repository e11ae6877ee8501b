#pragma once

#include "peridotspool/base/Time.h"

namespace peridotspool::gateway {

/**
 * Estimates the prefill backlog of one engine. An engine prefills one prompt
 * after the other, whichever entry sent it, so a new request waits until the
 * last of them is done.
 *
 * Does no I/O and reads no clock. Not thread-safe.
 */
class PrefillQueue
{
public:
  /** Returns how long a prompt that arrives now waits for those before it. */
  Duration Wait(TimePoint aNow) const;
  /**
   * Adds a prompt that takes aPrefillTime. Returns the planned end of its
   * prefill, to be passed to RecordPrefillDone. The plan excludes the current
   * delay of the engine.
   */
  TimePoint Add(Duration aPrefillTime, TimePoint aNow);
  /**
   * Replaces the estimate by one from a source that knows all sends to the
   * engine.
   */
  void SetWait(Duration aWait, TimePoint aNow);
  /** Records that a prefill planned to end at aPlanned ended at aNow. */
  void RecordPrefillDone(TimePoint aPlanned, TimePoint aNow);
  /** Removes a prompt that takes aPrefillTime and will never be prefilled. */
  void RemovePending(Duration aPrefillTime);

private:
  /** Planned end of the last prefill. */
  TimePoint mPlannedEnd;
  /** Delay of the engine against the plan; negative if it is ahead. */
  Duration mDelay{ 0 };
};

} // namespace peridotspool::gateway
