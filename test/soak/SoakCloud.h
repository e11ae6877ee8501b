#pragma once

#include "soak/SoakRecord.h"
#include "soak/SoakWire.h"

#include <atomic>
#include <thread>

namespace peridotspool::soak {

/** The cloud: takes usage and orders, and notes who gave them. */
class SoakCloud
{
public:
  SoakCloud(const Places& aPlaces, Recorder& aRecorder);
  ~SoakCloud();
  SoakCloud(const SoakCloud&) = delete;
  SoakCloud& operator=(const SoakCloud&) = delete;

private:
  void Serve();

  Recorder& mRecorder;
  const int mListening;
  std::atomic<bool> mRunning{ true };
  std::thread mThread;
};

} // namespace peridotspool::soak
