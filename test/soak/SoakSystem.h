#pragma once

#include "soak/SoakMachine.h"
#include "soak/SoakOperator.h"
#include "soak/SoakProxy.h"

#include <filesystem>
#include <memory>
#include <string>
#include <vector>

namespace peridotspool::soak {

/** The processes of a whole system, with its proxy, probe and operator. */
class SoakSystem
{
public:
  SoakSystem(int aBlock, const std::string& aName);
  ~SoakSystem();
  SoakSystem(const SoakSystem&) = delete;
  SoakSystem& operator=(const SoakSystem&) = delete;

  /** Starts everything, and sends the first configuration until it is taken. */
  bool Start();

  SoakMachine& Machine(int aNumber)
  {
    return *mMachines.at(static_cast<std::size_t>(aNumber - 1));
  }
  const Places& Where() const { return mPlaces; }
  SoakOperator& Operator() { return mOperator; }
  SoakProxy& Links() { return mProxy; }
  Recorder& Seen() { return mRecorder; }
  const std::filesystem::path& Folder() const { return mFolder; }
  /** Its logs are wanted no more. */
  void DropLogs() { mDropsLogs = true; }

private:
  const Places mPlaces;
  const std::filesystem::path mFolder;
  bool mDropsLogs = false;
  Recorder mRecorder;
  SoakProxy mProxy;
  SoakProbe mProbe;
  std::vector<std::unique_ptr<SoakMachine>> mMachines;
  SoakOperator mOperator;
};

} // namespace peridotspool::soak
