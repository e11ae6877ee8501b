#pragma once

#include "soak/SoakRecord.h"

#include <atomic>
#include <cstdint>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace peridotspool::soak {

/** Ends the id of a request that returns after a refusal. */
inline constexpr const char* kReturned = "-returned";

/**
 * Callers that send requests of all kinds to any entry, each on a connection of
 * its own, and record them. A request that is refused returns once, at the time
 * that the refusal names.
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
  /** Returns after which time the request may return if it was refused. */
  std::optional<Ms> Send(const std::string& aId, Kind aKind, int aEntry);

  const Places mPlaces;
  const std::uint64_t mSeed;
  Recorder& mRecorder;
  std::atomic<bool> mSending{ true };
  std::vector<std::thread> mThreads;
};

} // namespace peridotspool::soak
