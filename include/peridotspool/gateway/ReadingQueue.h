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
class ReadingQueue
{
public:
  /** How long a prompt that comes now waits for those before it. */
  Duration Wait(TimePoint aNow) const;
  /** A prompt that takes aReading was sent; returns when it will be read. */
  TimePoint Add(Duration aReading, TimePoint aNow);
  /** Somebody who knows all that was sent there says how long it is. */
  void Take(Duration aWait, TimePoint aNow) { mReadAt = aNow + aWait; }
  /**
   * A prompt that was to be read at aExpected has been read at aNow, or never
   * will be: those behind it come earlier or later by the difference.
   */
  void Correct(TimePoint aExpected, TimePoint aNow);

private:
  TimePoint mReadAt;
};

} // namespace peridotspool::gateway
