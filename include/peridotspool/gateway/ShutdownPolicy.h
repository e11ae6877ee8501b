#pragma once

#include "peridotspool/base/Time.h"

#include <optional>

namespace peridotspool::gateway {

struct ShutdownPolicyOptions
{
  /** From the request to stop to the exit of the process. */
  Duration mGrace = std::chrono::seconds(8);
  /** Requests are accepted for this long after the request to stop. */
  Duration mAcceptFor = std::chrono::milliseconds(2500);
  /** Minimum time before the exit: callers that have recently looked up entries
   * may connect until then. */
  Duration mMinDuration = std::chrono::milliseconds(1500);
  /** The process must be quiet for this long, so that the last bytes written
   * reach their callers. */
  Duration mQuietFor = std::chrono::milliseconds(150);
  /** Part of the grace period that is reserved for exiting. */
  Duration mReserve = std::chrono::milliseconds(40);
};

enum class ShutdownStage
{
  /** Requests are accepted as usual. */
  kAccepting,
  /** Requests are refused, so that callers use other entries. */
  kRefusing,
  /** The process exits. */
  kComplete,
};

/**
 * Decides the steps of a graceful shutdown. Callers learn only within seconds
 * that the process is leaving and open connections to it until then, so it
 * goes on accepting requests at first.
 *
 * Has no side effects beyond its own state. Not thread-safe.
 */
class ShutdownPolicy
{
public:
  ShutdownPolicy(ShutdownPolicyOptions aOptions, TimePoint aNow);

  /** aQuiet: no request is being served and all responses have been written.
   */
  ShutdownStage Step(bool aQuiet, TimePoint aNow);
  /** Returns true iff a request that takes up to aLongest ends in time. */
  bool MayAccept(Duration aLongest, TimePoint aNow) const;

private:
  ShutdownPolicyOptions mOptions;
  TimePoint mStopRequestedAt;
  TimePoint mLastBusyAt;
};

} // namespace peridotspool::gateway
