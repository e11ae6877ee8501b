#pragma once

#include "soak/SoakNames.h"

#include <atomic>
#include <cstddef>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace peridotspool::soak {

/** Callers that each ask one entry after the other, until they are destroyed.
 */
class SteadyCallers
{
public:
  SteadyCallers(const Places& aPlaces, std::string aService, int aCount);
  ~SteadyCallers();
  SteadyCallers(const SteadyCallers&) = delete;
  SteadyCallers& operator=(const SteadyCallers&) = delete;

  /** Returns the requests sent from a moment on that got no whole 200. */
  std::size_t Unserved(Time aFrom) const;
  /** Returns the requests that were refused, but not at once. */
  std::size_t RefusedLate() const;

private:
  void Repeat(int aCaller);

  const Places mPlaces;
  const std::string mService;
  mutable std::mutex mMutex;
  std::vector<Time> mUnserved;
  std::size_t mRefusedLate = 0;
  std::atomic<bool> mSending{ true };
  std::vector<std::thread> mThreads;
};

} // namespace peridotspool::soak
