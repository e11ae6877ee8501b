#pragma once

#include "soak/SoakRecord.h"

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

namespace peridotspool::soak {

/**
 * Callers that send requests of all kinds to any entry, each on a connection of
 * its own and once, and record them.
 */
class MixedCallers
{
public:
  MixedCallers(const Places& aPlaces,
               int aCount,
               std::uint64_t aSeed,
               Recorder& aRecorder);
  ~MixedCallers();
  MixedCallers(const MixedCallers&) = delete;
  MixedCallers& operator=(const MixedCallers&) = delete;

private:
  /** Sends requests until this object ends. */
  void Repeat(int aCaller);

  const Places mPlaces;
  const std::uint64_t mSeed;
  Recorder& mRecorder;
  std::atomic<bool> mSending{ true };
  std::vector<std::thread> mThreads;
};

} // namespace peridotspool::soak
