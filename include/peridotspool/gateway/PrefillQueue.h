#pragma once

#include "peridotspool/base/Time.h"

namespace peridotspool::gateway {

/**
 * The prompts that one engine still has to read before it begins another
 * request. An engine reads one prompt after the other, whoever sent it, so what
 * counts for a new request is when the last of them will have been read.
 *
 * A pure step. Not thread-safe.
 */
class PrefillQueue
{
public:
  /** How long a prompt that comes now waits for those before it. */
  Duration Wait(TimePoint aNow) const;
  /**
   * A prompt that takes aPrefillTime was sent. Returns when it is planned to
   * have been read, by the engine's plan: how late that is, RecordPrefillDone
   * tells.
   */
  TimePoint Add(Duration aPrefillTime, TimePoint aNow);
  /** Somebody who knows all that was sent there says how long it is. */
  void SetWait(Duration aWait, TimePoint aNow);
  /** A prompt that was planned to be read at aPlanned has been read at aNow. */
  void RecordPrefillDone(TimePoint aPlanned, TimePoint aNow);
  /** A prompt that takes aPrefillTime never will be read. */
  void RemovePending(Duration aPrefillTime);

private:
  /** The end of the plan. */
  TimePoint mPlannedEnd;
  /** How late the engine is, against its plan; negative when it is early. */
  Duration mDelay{ 0 };
};

} // namespace peridotspool::gateway
