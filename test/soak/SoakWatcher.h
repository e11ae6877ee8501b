#pragma once

#include "soak/SoakProbe.h"

#include <array>

namespace peridotspool::soak {

/** Asks each entry again and again by which configuration it works. */
class SoakWatcher
{
public:
  SoakWatcher(const Places& aPlaces, Recorder& aRecorder);
  ~SoakWatcher();
  SoakWatcher(const SoakWatcher&) = delete;
  SoakWatcher& operator=(const SoakWatcher&) = delete;

  /** An entry's process was started anew. */
  void NoteLife(int aMachine, int aLife);

private:
  void Run(int aMachine);

  const Places mPlaces;
  Recorder& mRecorder;
  std::array<std::atomic<int>, kMachines + 1> mLives{};
  std::atomic<bool> mRunning{ true };
  std::vector<std::thread> mThreads;
};

} // namespace peridotspool::soak
