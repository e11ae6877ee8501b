#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/routing/EjectionOptions.h"

#include <cstdint>

namespace peridotspool::routing {

/** Whether one upstream is to get no work for a while. */
class Ejection
{
public:
  /** Counts an end; returns true iff the upstream should be ejected for it. */
  bool OnFailure(const EjectionOptions& aOptions);
  bool OnCompleted(Duration aDuration,
                   Duration aServiceMean,
                   const EjectionOptions& aOptions);

  /** Ejects; the time doubles with each ejection that follows soon. */
  void Eject(const EjectionOptions& aOptions, TimePoint aNow);
  /** Lets it back in; one more failure ejects again. */
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
