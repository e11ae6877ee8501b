#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/routing/EjectionOptions.h"

#include <cstdint>

namespace peridotspool::routing {

/**
 * Tracks whether one upstream is ejected, that is, gets no requests for a
 * while.
 */
class Ejection
{
public:
  /**
   * Records the end of a request; returns true iff the upstream should be
   * ejected.
   */
  bool OnFailure(const EjectionOptions& aOptions);
  bool OnCompleted(Duration aDuration,
                   Duration aServiceMean,
                   const EjectionOptions& aOptions);

  /**
   * Ejects the upstream. The duration doubles if the last ejection is recent.
   */
  void Eject(const EjectionOptions& aOptions, TimePoint aNow);
  /** Readmits the upstream; one more failure ejects it again. */
  void Readmit(const EjectionOptions& aOptions);

  bool IsEjected() const { return mEjected; }
  TimePoint Until() const { return mUntil; }

private:
  bool mEjected = false;
  TimePoint mUntil;
  TimePoint mLastEjected;
  Duration mLastTime{ 0 };
  std::uint32_t mFailures = 0;
  std::uint32_t mSlow = 0;
};

} // namespace peridotspool::routing
