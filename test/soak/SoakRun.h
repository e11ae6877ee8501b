#pragma once

#include "soak/SoakChecks.h"
#include "soak/SoakPlan.h"

#include <filesystem>
#include <string>
#include <vector>

namespace peridotspool::soak {

struct RunOptions
{
  std::uint64_t mSeed = 1;
  /** Faults are over this long after the start of traffic. */
  Ms mFaultsFor = std::chrono::seconds(20);
  /** Runs beside each other need different ones, 0 to 99. */
  int mBlock = 0;
  /** Logs stay here when something was broken. */
  std::filesystem::path mFolder;
};

struct RunReport
{
  std::vector<Fault> mPlan;
  std::vector<std::string> mBroken;
  std::size_t mRequests = 0;
  std::size_t mServed = 0;
  std::size_t mChanges = 0;
};

/**
 * Starts a whole system of real processes, does to it from outside what the
 * seed says, and holds what was seen from outside against the promises.
 */
RunReport
RunSoak(const RunOptions& aOptions);

std::string
ToText(const RunReport& aReport);

} // namespace peridotspool::soak
