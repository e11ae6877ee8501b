#pragma once

#include "soak/SoakProbe.h"

#include <random>

namespace peridotspool::soak {

/** A whole configuration; each version has a probe service of its own. */
std::string
ConfigText(std::uint64_t aVersion);

/**
 * An operator who changes the configuration all the time, sends a change again
 * until it has a clear answer, sends invalid ones, and reads it back.
 */
class SoakOperator
{
public:
  SoakOperator(const Places& aPlaces,
               std::uint64_t aSeed,
               SoakProbe& aProbe,
               Recorder& aRecorder);
  ~SoakOperator();
  SoakOperator(const SoakOperator&) = delete;
  SoakOperator& operator=(const SoakOperator&) = delete;

  /** Sends the first configuration until it is taken. */
  bool SendFirst(Ms aPatience);
  void Start();
  /** One call at a replica, and at the one that it names as the leader. */
  std::optional<HttpText> Call(int aMachine, const std::string& aRequest);

private:
  void Run();
  void Change();
  void ChangeInvalid();
  void ReadBack();
  /** Sends a change; returns the status of a clear answer. */
  std::optional<unsigned> Send(const std::string& aText, Ms aPatience);

  const Places mPlaces;
  std::mt19937_64 mRandom;
  SoakProbe& mProbe;
  Recorder& mRecorder;
  std::uint64_t mVersion = 1;
  std::atomic<bool> mRunning{ true };
  std::thread mThread;
};

} // namespace peridotspool::soak
