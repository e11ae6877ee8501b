#pragma once

#include "soak/SoakRecord.h"
#include "soak/SoakWire.h"

#include <atomic>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace peridotspool::soak {

/**
 * A caller as the users' callers are: asks which entries to use, keeps the
 * answer for a while, and uses a connection until the other end is gone.
 */
class SoakCaller
{
public:
  SoakCaller(const Places& aPlaces, int aNumber, Recorder& aRecorder);
  ~SoakCaller();
  SoakCaller(const SoakCaller&) = delete;
  SoakCaller& operator=(const SoakCaller&) = delete;

private:
  void Run();
  void Resolve();
  void SendOne();
  SeenRequest Draw();
  bool Connect();

  const Places mPlaces;
  const int mNumber;
  Recorder& mRecorder;
  std::mt19937_64 mRandom;
  std::vector<std::string> mEntries;
  Time mResolvedAt;
  std::optional<Wire> mWire;
  std::string mEntry;
  int mSent = 0;
  std::atomic<bool> mRunning{ true };
  std::thread mThread;
};

} // namespace peridotspool::soak
