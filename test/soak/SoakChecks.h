#pragma once

#include "soak/SoakRecord.h"

#include <string>
#include <vector>

namespace peridotspool::soak {

struct CheckOptions
{
  /** A change that was acknowledged is in force, and read back, after this. */
  Ms mApply{ 2500 };
  /** Faults count as over this long after their end. */
  Ms mSettle{ 5000 };
  /** A leaving upstream gets nothing this long after its word was taken. */
  Ms mDrain{ 2000 };
  std::size_t mMaxAttempts = 3;
  /** Of the requests in the calm at the end, this part has to be answered. */
  double mServedAtTheEnd = 0.95;
};

/**
 * Holds what callers, upstreams, operators and the cloud saw against what the
 * system promises. Returns a sentence for each promise that was broken.
 */
std::vector<std::string>
Check(const Record& aRecord, const CheckOptions& aOptions = {});

} // namespace peridotspool::soak
