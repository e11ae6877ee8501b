#pragma once

#include "peridotspool/base/Time.h"

#include <optional>

namespace peridotspool::gateway {

struct ShutdownPolicyOptions
{
  /** From the order to stop to the end. */
  Duration mGrace = std::chrono::seconds(8);
  /** Requests are taken for this long as if nothing had been said. */
  Duration mAcceptFor = std::chrono::milliseconds(2500);
  /** Callers that lately asked for entries may still come until then. */
  Duration mMinDuration = std::chrono::milliseconds(1500);
  /** Bytes that were written last are on their way for this long. */
  Duration mQuietFor = std::chrono::milliseconds(150);
  /** Kept of the grace for ending the process. */
  Duration mReserve = std::chrono::milliseconds(40);
};

enum class ShutdownStage
{
  kAccepting,
  /** Tells callers to go elsewhere, while there is still time for it. */
  kRefusing,
  kComplete,
};

/**
 * How a process stops gracefully. Callers learn within seconds that it leaves,
 * and until then open connections to it.
 *
 * A pure step. Not thread-safe.
 */
class ShutdownPolicy
{
public:
  ShutdownPolicy(ShutdownPolicyOptions aOptions, TimePoint aNow);

  /** aQuiet: nothing is served, and callers were sent all that is owed. */
  ShutdownStage Step(bool aQuiet, TimePoint aNow);
  /** Returns true iff a request that may take this long ends in time. */
  bool MayAccept(Duration aLongest, TimePoint aNow) const;

private:
  ShutdownPolicyOptions mOptions;
  TimePoint mStopRequestedAt;
  TimePoint mLastBusyAt;
};

} // namespace peridotspool::gateway
